"""The migration store on SQLite: lease, log, relays' acknowledgements and effects; each call is one transaction.

 lease    there is one lease at a time; each new one has a higher fencing token; calls with the latest token renew the
          lease, and calls with an earlier one are rejected
 log      an entry is appended only if its writer knows the log's last entry
 barrier  an intent that names a barrier is accepted only when every registered relay has acknowledged the barrier
 effect   the effect of a part and the record of its progress are written in one transaction; a part that is recorded
          is not applied again

Leases expire by the store's clock only. With WAL and synchronous=FULL, a change is on disk before its reply is sent.
The store does not check the rules of the migration log (see migrations.migration_log): the log's readers do. SQLite's
authorizer rejects statements of steps that access the store's own tables, end the transaction, attach a file or set a
pragma.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

from lanelead.protocols.migrations import (
    UNACKNOWLEDGED,
    AppendRequest,
    ApplyRequest,
    BatchRange,
    EffectProgress,
    LeaseRequest,
    LogEntry,
    LoggedEntry,
    MigrationLogPage,
    RejectionReason,
)

TABLE_PREFIX = "ll_"
SCHEMA = f"""
CREATE TABLE IF NOT EXISTS {TABLE_PREFIX}lease (one INTEGER PRIMARY KEY CHECK (one = 1), token INTEGER NOT NULL,
    runner TEXT NOT NULL, until REAL NOT NULL, ttl REAL NOT NULL);
CREATE TABLE IF NOT EXISTS {TABLE_PREFIX}record (seq INTEGER PRIMARY KEY, token INTEGER NOT NULL,
    runner TEXT NOT NULL, at REAL NOT NULL, body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS {TABLE_PREFIX}marks (intent INTEGER NOT NULL, part INTEGER NOT NULL, cursor INTEGER,
    more INTEGER NOT NULL, rows INTEGER NOT NULL, PRIMARY KEY (intent, part)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS {TABLE_PREFIX}seen (relay INTEGER PRIMARY KEY, seq INTEGER NOT NULL);
"""
LOWEST_KEY = -(2**63)  # SQLite's lowest integer, from which the first batch starts
PAGE_ENTRIES = 5000  # maximum of log entries in a reply
FORBIDDEN_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_TRANSACTION,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_PRAGMA,
    }
)


class StoreRejectedError(Exception):
    """A call was rejected without any change; for `reason` see protocols.migrations.RejectedCall."""

    def __init__(self, reason: RejectionReason, message: str = "") -> None:
        super().__init__(message or reason)
        self.reason: RejectionReason = reason
        self.message = message


def _no_fault(point: str) -> None: ...


class MigrationStore:
    """A store in one SQLite file.

    clock: returns the time in seconds by which leases expire; it may restart with the process.
    fault_hook: called at named points in and around transactions; the emulated store injects faults there.
    """

    def __init__(self, file: str | Path, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self.fault_hook = _no_fault
        self._connection = sqlite3.connect(file, isolation_level=None)
        self._connection.execute("PRAGMA journal_mode=WAL")
        self._connection.execute("PRAGMA synchronous=FULL")
        self._connection.executescript(SCHEMA)
        # The clock may have restarted, so it is unknown how much of a lease has passed: it lasts its whole term from
        # now. A lease that was released (until = 0) stays released.
        self._connection.execute(f"UPDATE {TABLE_PREFIX}lease SET until = ? + ttl WHERE until != 0", (clock(),))

    def close(self) -> None:
        """Closes the database."""
        self._connection.close()

    @property
    def connection(self) -> sqlite3.Connection:
        """The database connection, for tests and the emulated store."""
        return self._connection

    @contextmanager
    def _transaction(self, point: str) -> Iterator[sqlite3.Connection]:
        """Runs the body in one transaction, which is rolled back if the body raises."""
        self.fault_hook(f"{point}.before")
        self._connection.execute("BEGIN IMMEDIATE")
        try:
            yield self._connection
            self.fault_hook(f"{point}.commit")
            self._connection.execute("COMMIT")
        except BaseException:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
            raise
        self.fault_hook(f"{point}.after")

    # Lease

    def acquire_lease(self, request: LeaseRequest) -> int:
        """Grants a lease and returns its token. Raises StoreRejectedError ("held") while another runner holds it."""
        with self._transaction("lease") as connection:
            row = connection.execute(f"SELECT token, runner, until FROM {TABLE_PREFIX}lease").fetchone()
            token, runner, until = row or (0, "", 0.0)
            left = until - self._clock()
            if row and runner != request.runner and left > 0:
                raise StoreRejectedError("held", f"{runner} has the lease, for {left:.1f} s more unless it renews")
            ttl_seconds = request.ttl_ms / 1000
            connection.execute(
                f"INSERT OR REPLACE INTO {TABLE_PREFIX}lease VALUES (1, ?, ?, ?, ?)",
                (token + 1, request.runner, self._clock() + ttl_seconds, ttl_seconds),
            )
            return int(token) + 1

    def renew_lease(self, token: int) -> None:
        """Extends the lease by its term from now. Raises StoreRejectedError ("fenced")."""
        with self._transaction("renew") as connection:
            self._require_token(connection, token)

    def release_lease(self, token: int) -> None:
        """Ends the lease, so that another runner need not wait until it expires."""
        with self._transaction("release") as connection:
            connection.execute(f"UPDATE {TABLE_PREFIX}lease SET until = 0 WHERE token = ?", (token,))

    def _require_token(self, connection: sqlite3.Connection, token: int) -> str:
        """Checks that a token is the latest one, renews its lease, and returns the name of its runner."""
        row = connection.execute(f"SELECT token, runner FROM {TABLE_PREFIX}lease").fetchone()
        if row is None or row[0] != token:
            raise StoreRejectedError("fenced", f"token {token}, while the last is {row[0] if row else 0}")
        # An expired lease is renewed too: no other runner has acquired one since, or the token would be a later one.
        connection.execute(f"UPDATE {TABLE_PREFIX}lease SET until = ? + ttl", (self._clock(),))
        return str(row[1])

    # Log

    def last_seq(self) -> int:
        """The sequence number of the last entry; 0 if the log is empty."""
        row = self._connection.execute(f"SELECT COALESCE(MAX(seq), 0) FROM {TABLE_PREFIX}record").fetchone()
        return int(row[0])

    def append(self, request: AppendRequest) -> LoggedEntry:
        """Appends an entry. Raises StoreRejectedError ("fenced", "behind", "unseen"); see RejectedCall."""
        with self._transaction("append") as connection:
            runner = self._require_token(connection, request.token)
            last_seq = self.last_seq()
            if request.after_seq != last_seq:
                raise StoreRejectedError("behind", f"the log ends at {last_seq}")
            barrier_seq = request.entry.barrier_seq
            relays = self.unacknowledged_relays(barrier_seq) if barrier_seq else []
            if relays:
                raise StoreRejectedError(UNACKNOWLEDGED, f"relays {relays} have not acknowledged entry {barrier_seq}")
            logged = LoggedEntry(last_seq + 1, request.token, runner, time.time() * 1000, request.entry)
            body = msgspec.json.encode(request.entry)
            connection.execute(
                f"INSERT INTO {TABLE_PREFIX}record VALUES (?, ?, ?, ?, ?)",
                (logged.seq, logged.token, runner, logged.at_ms, body),
            )
        return logged

    def read_page(self, since_seq: int, max_entries: int = PAGE_ENTRIES) -> MigrationLogPage:
        """Reads the entries after `since_seq`, at most `max_entries`."""
        rows = self._connection.execute(
            f"SELECT seq, token, runner, at, body FROM {TABLE_PREFIX}record WHERE seq > ? ORDER BY seq LIMIT ?",
            (since_seq, max_entries),
        )
        entries = [
            LoggedEntry(seq, token, runner, at, msgspec.json.decode(body, type=LogEntry))
            for seq, token, runner, at, body in rows
        ]
        return MigrationLogPage(entries, self.last_seq())

    # Relays

    def register_relay(self, relay: int) -> None:
        """Registers a relay, which is about to receive the log; from now on barriers wait for it."""
        query = f"SELECT 1 FROM {TABLE_PREFIX}seen WHERE relay = ?"
        if self._connection.execute(query, (relay,)).fetchone() is None:
            with self._transaction("register") as connection:
                connection.execute(f"INSERT INTO {TABLE_PREFIX}seen VALUES (?, 0)", (relay,))

    def acknowledge(self, relay: int, seq: int) -> None:
        """Records that a relay has acknowledged the entries up to `seq`, or to the end of the log if earlier."""
        with self._transaction("acknowledge") as connection:
            connection.execute(
                f"INSERT INTO {TABLE_PREFIX}seen VALUES (?, ?) "
                "ON CONFLICT (relay) DO UPDATE SET seq = MAX(seq, excluded.seq)",
                (relay, min(seq, self.last_seq())),
            )

    def unacknowledged_relays(self, barrier_seq: int) -> list[int]:
        """The registered relays that have not acknowledged a barrier entry, in ascending order."""
        rows = self._connection.execute(
            f"SELECT relay FROM {TABLE_PREFIX}seen WHERE seq < ? ORDER BY relay", (barrier_seq,)
        )
        return [int(row[0]) for row in rows]

    def forget_relay(self, token: int, relay: int) -> None:
        """Removes a relay, for which barriers then no longer wait. Raises StoreRejectedError ("fenced")."""
        with self._transaction("forget") as connection:
            self._require_token(connection, token)
            connection.execute(f"DELETE FROM {TABLE_PREFIX}seen WHERE relay = ?", (relay,))

    # Effects

    def progress(self, intent_seq: int) -> EffectProgress:
        """How much of an intent has been applied."""
        row = self._connection.execute(
            f"SELECT COUNT(*), COALESCE(SUM(rows), 0) FROM {TABLE_PREFIX}marks WHERE intent = ?", (intent_seq,)
        ).fetchone()
        if not row[0]:
            return EffectProgress(0)
        cursor, more = self._connection.execute(
            f"SELECT cursor, more FROM {TABLE_PREFIX}marks WHERE intent = ? ORDER BY part DESC LIMIT 1", (intent_seq,)
        ).fetchone()
        return EffectProgress(row[0], cursor, not more, row[1])

    def apply_part(self, request: ApplyRequest) -> EffectProgress:
        """Applies one part unless it is recorded as applied, and returns the progress of the intent.

        Raises StoreRejectedError ("fenced", "no intent", "failed"), in which case nothing of the part was applied.
        """
        try:
            with self._transaction("apply") as connection:
                self._require_token(connection, request.token)
                self._require_intent(connection, request.intent_seq)
                recorded = connection.execute(
                    f"SELECT 1 FROM {TABLE_PREFIX}marks WHERE intent = ? AND part = ?",
                    (request.intent_seq, request.part),
                ).fetchone()
                if recorded is None:
                    self._apply_and_record(connection, request)
        except sqlite3.Error as error:
            raise StoreRejectedError("failed", f"{type(error).__name__}: {error}") from None
        return self.progress(request.intent_seq)

    def _require_intent(self, connection: sqlite3.Connection, seq: int) -> None:
        row = connection.execute(f"SELECT body FROM {TABLE_PREFIX}record WHERE seq = ?", (seq,)).fetchone()
        if row is None or msgspec.json.decode(row[0], type=LogEntry).kind != "intent":
            raise StoreRejectedError("no intent", f"entry {seq} is not an intent")

    def _apply_and_record(self, connection: sqlite3.Connection, request: ApplyRequest) -> None:
        batch = request.batch_range
        cursor: int | None = None
        more = False
        rows = 0
        if batch is None:
            self._execute_statements(connection, request.statements, {})
        else:
            cursor, more, rows = self._batch_end(batch)
            if cursor is None:
                cursor = batch.after_key
            else:
                low = LOWEST_KEY if batch.after_key is None else batch.after_key
                self._execute_statements(connection, request.statements, {"low": low, "high": cursor})
        connection.execute(
            f"INSERT INTO {TABLE_PREFIX}marks VALUES (?, ?, ?, ?, ?)",
            (request.intent_seq, request.part, cursor, more, rows),
        )

    def _execute_statements(
        self, connection: sqlite3.Connection, statements: tuple[str, ...], values: dict[str, int]
    ) -> None:
        """Executes a step's statements under the authorizer, each with the parameters that it names."""
        connection.set_authorizer(_authorize)
        try:
            for number, text in enumerate(statements):
                if number == len(statements) - 1:
                    self.fault_hook("apply.mid")
                connection.execute(text, {name: value for name, value in values.items() if f":{name}" in text})
        finally:
            connection.set_authorizer(None)

    def _batch_end(self, batch: BatchRange) -> tuple[int | None, bool, int]:
        """Returns a batch's last key (None if no rows are left), whether more rows follow, and its number of rows."""
        low = LOWEST_KEY if batch.after_key is None else batch.after_key
        key = f'"{batch.key}"'
        table = f'"{batch.table}"'
        found = self._connection.execute(
            f"SELECT {key} FROM {table} WHERE {key} > ? ORDER BY {key} LIMIT ?", (low, batch.max_rows + 1)
        )
        keys = [int(row[0]) for row in found]
        if not keys:
            return None, False, 0
        in_batch = keys[: batch.max_rows]
        return in_batch[-1], len(keys) > batch.max_rows, len(in_batch)


def _authorize(action: int, first: str | None, second: str | None, *_: str | None) -> int:
    """Authorizer callback of SQLite: denies forbidden actions and all access to the store's own tables."""
    if action in FORBIDDEN_ACTIONS or any((name or "").lower().startswith(TABLE_PREFIX) for name in (first, second)):
        return sqlite3.SQLITE_DENY
    return sqlite3.SQLITE_OK
