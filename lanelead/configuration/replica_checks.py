"""What a replica finds wrong with others and with its own store."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from lanelead.configuration.store import StoreError
from lanelead.protocols.configuration import Heartbeat


def mismatch(heartbeat: Heartbeat, number: int, history: str, voters: Sequence[int]) -> str:
    """Why the replica behind this heartbeat is left alone, with what to do; empty: it belongs to this group.

    Guards against versions of two histories taken for one, and majorities of two sets of voters.
    """
    if heartbeat.replica != number:
        return f"machine {heartbeat.replica} answers at its address: mend the address in the settings"
    if sorted(heartbeat.voters) != sorted(voters):
        return f"its settings name the voters {sorted(heartbeat.voters)}: give all machines the same"
    if history and heartbeat.history and heartbeat.history != history:
        return f"it holds the history {heartbeat.history}, this one {history}: start the wrong one with no file"
    return ""


class StoreHealth:
    """Whether the store could be used at its last try; `report` gets the text and remedy of a new fault."""

    def __init__(self, report: Callable[[str, str], None]) -> None:
        self._report = report
        self.fault = ""

    @contextmanager
    def track(self) -> Iterator[None]:
        """Notes whether the store could be used within."""
        try:
            yield
        except StoreError as error:
            text = f"{type(error).__name__}: {error}"
            if not self.fault:
                self._report(text, error.remedy)
            self.fault = text
            raise
        self.fault = ""
