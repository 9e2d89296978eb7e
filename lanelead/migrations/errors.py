"""The errors of the migrations package."""

from __future__ import annotations


class MigrationError(Exception):
    """The base of all errors of this package."""


class InvalidEntryError(MigrationError):
    """A log entry breaks a rule of the migration log (see migration_log), or can't be read.

    rule: the number of the broken rule; None where the entry is unusable in itself.
    """

    def __init__(self, reason: str, rule: int | None = None) -> None:
        super().__init__(reason if rule is None else f"rule {rule}: {reason}")
        self.reason = reason
        self.rule = rule


class StoreUnavailableError(MigrationError):
    """The migration store gave no usable reply, so the outcome of the call is unknown."""


class AcknowledgementTimeoutError(MigrationError):
    """Relays did not acknowledge a barrier in time; nothing was changed yet."""

    def __init__(self, relays: list[int]) -> None:
        super().__init__(
            f"relays {relays} have not acknowledged that traffic must end: nothing was changed yet; "
            "run again, undo, or say --without-relay for one that is gone for good"
        )
        self.relays = relays
