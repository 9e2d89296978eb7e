"""The signals that a relay handles, while it has no handlers for them: they would end its process."""

from __future__ import annotations

import os
import signal

HANDLED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM})


def block_signals() -> None:
    """To be called at the start: signals are delivered once they are unblocked."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock_signals() -> None:
    """To be called once the handlers are installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def exit_with_handlers() -> None:
    """Ends the process with code 0, while the handlers are there.

    An event loop that is closed removes them. A signal would then end the process with its own code. To block signals
    does not help, since threads may receive them.
    """
    os._exit(0)
