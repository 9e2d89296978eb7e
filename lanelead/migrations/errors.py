"""Errors of the migrations package."""

from __future__ import annotations


class MigrationError(Exception):
    """Base class of the errors of this package."""


class InvalidEntryError(MigrationError):
    """A log entry can't be decoded, or breaks a rule of the migration log (see the module migration_log).

    rule: the number of the broken rule; None if the entry itself is invalid.
    """

    def __init__(self, reason: str, rule: int | None = None) -> None:
        super().__init__(reason if rule is None else f"rule {rule}: {reason}")
        self.reason = reason
        self.rule = rule


class StoreUnavailableError(MigrationError):
    """The migration store sent no usable reply, so the outcome of the call is unknown."""


class AcknowledgementTimeoutError(MigrationError):
    """Relays did not acknowledge a barrier in time; the step has not changed anything yet.

    relays: the numbers of these relays.
    """

    def __init__(self, relays: list[int]) -> None:
        super().__init__(
            f"relays {relays} have not acknowledged the barrier in time; the step has changed nothing yet. "
            "Run again, undo, or use --without-relay for a relay that will not return"
        )
        self.relays = relays
