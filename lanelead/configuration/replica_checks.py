"""Checks of a replica: whether a peer belongs to its group, and whether its own store can be used."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from lanelead.configuration.store import StoreError
from lanelead.protocols.configuration import Heartbeat


def mismatch(heartbeat: Heartbeat, number: int, history: str, voters: Sequence[int]) -> str:
    """Why the sender of a heartbeat is to be ignored, with the remedy; empty where it belongs to this group.

    `number` is the sender's number in this replica's settings. Ignoring strangers prevents mixing the versions of
    two histories, and majorities counted over two different sets of voters.
    """
    if heartbeat.replica != number:
        return f"replica {heartbeat.replica} answers at its address: correct the address in the settings"
    if sorted(heartbeat.voters) != sorted(voters):
        return f"its settings name the voters {sorted(heartbeat.voters)}: configure the same voters on all replicas"
    if history and heartbeat.history and heartbeat.history != history:
        return (
            f"it has history {heartbeat.history}, this replica {history}: restart the wrong one without its store file"
        )
    return ""


class StoreHealth:
    """The last error of the store, in `fault`; empty once a `track` block ended without StoreError.

    `report` is called with the text and remedy of an error that follows a success.
    """

    def __init__(self, report: Callable[[str, str], None]) -> None:
        self._report = report
        self.fault = ""

    @contextmanager
    def track(self) -> Iterator[None]:
        """Records whether the code of the `with` block raised StoreError, and reraises it."""
        try:
            yield
        except StoreError as error:
            text = f"{type(error).__name__}: {error}"
            if not self.fault:
                self._report(text, error.remedy)
            self.fault = text
            raise
        self.fault = ""
