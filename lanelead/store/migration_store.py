"""The store's side of steps, on SQLite: lease, record, marks and effects, each call one transaction.

 lease    one at a time; its token grows with each, and what comes under an earlier one is refused
 record   an entry is written only right after the last that its writer knows
 closing  an intent that waits for a closing is let in only when every relay that was told has seen it
 effect   an effect and its mark are one transaction; a mark that is there is not made again

The clock that a lease ends by is the store's own; no other is asked. WAL and synchronous FULL: what was
answered is on disk. A step's statements may not touch the store's own tables, end the transaction, attach a
file or set a pragma; SQLite's authorizer refuses them.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

from lanelead.protocols.migrations import (
    AppendRequest,
    ApplyRequest,
    BatchRange,
    EffectProgress,
    LeaseRequest,
    LogEntry,
    LoggedEntry,
    MigrationLogPage,
)

OURS = "ll_"
TABLES = f"""
CREATE TABLE IF NOT EXISTS {OURS}lease (one INTEGER PRIMARY KEY CHECK (one = 1), token INTEGER NOT NULL,
    runner TEXT NOT NULL, until REAL NOT NULL, ttl REAL NOT NULL);
CREATE TABLE IF NOT EXISTS {OURS}record (seq INTEGER PRIMARY KEY, token INTEGER NOT NULL,
    runner TEXT NOT NULL, at REAL NOT NULL, body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS {OURS}marks (intent INTEGER NOT NULL, part INTEGER NOT NULL, cursor INTEGER,
    more INTEGER NOT NULL, rows INTEGER NOT NULL, PRIMARY KEY (intent, part)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS {OURS}seen (relay INTEGER PRIMARY KEY, seq INTEGER NOT NULL);
"""
LOWEST = -(2**63)  # below every key
PAGE = 5000  # entries of one answer
FORBIDDEN = frozenset(
    {
        sqlite3.SQLITE_TRANSACTION,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_PRAGMA,
    }
)


class Denied(Exception):
    """Nothing was changed. `why` is a word of protocols.steps.Refusal."""

    def __init__(self, why: str, text: str = "") -> None:
        super().__init__(text or why)
        self.why, self.text = why, text


def _nothing(point: str) -> None: ...


class Ledger:
    """`at` is called at named points, in and around the transactions: stand-ins cause their faults there."""

    def __init__(self, file: str | Path, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock, self.at = clock, _nothing
        self._db = sqlite3.connect(file, isolation_level=None)
        self._db.execute("PRAGMA journal_mode=WAL")
        self._db.execute("PRAGMA synchronous=FULL")
        self._db.executescript(TABLES)
        # The clock may start anew with the process: a lease that was given before ends a whole term later.
        # One that was released stays so.
        self._db.execute(f"UPDATE {OURS}lease SET until = ? + ttl WHERE until != 0", (clock(),))

    def close(self) -> None:
        self._db.close()

    @property
    def db(self) -> sqlite3.Connection:
        return self._db

    @contextmanager
    def _change(self, point: str) -> Iterator[sqlite3.Connection]:
        """One transaction: all of what is inside, or nothing."""
        self.at(f"{point}.before")
        self._db.execute("BEGIN IMMEDIATE")
        try:
            yield self._db
            self.at(f"{point}.commit")
            self._db.execute("COMMIT")
        except BaseException:
            if self._db.in_transaction:
                self._db.execute("ROLLBACK")
            raise
        self.at(f"{point}.after")

    # Lease

    def lease(self, ask: LeaseRequest) -> int:
        """A new token. Raises Denied('held') while another runner's lease lasts."""
        with self._change("lease") as db:
            row = db.execute(f"SELECT token, runner, until FROM {OURS}lease").fetchone()
            token, runner, until = row or (0, "", 0.0)
            left = until - self._clock()
            if row and runner != ask.runner and left > 0:
                raise Denied("held", f"{runner} runs steps, for {left:.1f} s more unless it renews")
            ttl = ask.ttl_ms / 1000
            db.execute(
                f"INSERT OR REPLACE INTO {OURS}lease VALUES (1, ?, ?, ?, ?)",
                (token + 1, ask.runner, self._clock() + ttl, ttl),
            )
            return int(token) + 1

    def renew(self, token: int) -> None:
        with self._change("renew") as db:
            self._fence(db, token)

    def release(self, token: int) -> None:
        """The runner has stopped: another need not wait for its lease to end."""
        with self._change("release") as db:
            db.execute(f"UPDATE {OURS}lease SET until = 0 WHERE token = ?", (token,))

    def _fence(self, db: sqlite3.Connection, token: int) -> str:
        row = db.execute(f"SELECT token, runner FROM {OURS}lease").fetchone()
        if row is None or row[0] != token:
            raise Denied("fenced", f"token {token}, of which {row[0] if row else 0} is the last")
        # Whoever holds the last token goes on holding it: nobody else has come since.
        db.execute(f"UPDATE {OURS}lease SET until = ? + ttl", (self._clock(),))
        return str(row[1])

    # Record

    def last(self) -> int:
        return int(self._db.execute(f"SELECT COALESCE(MAX(seq), 0) FROM {OURS}record").fetchone()[0])

    def append(self, ask: AppendRequest) -> LoggedEntry:
        with self._change("append") as db:
            runner = self._fence(db, ask.token)
            last = self.last()
            if ask.after != last:
                raise Denied("behind", f"the record stands at {last}")
            if ask.entry.closed and (relays := self.unseen(ask.entry.closed)):
                raise Denied("unseen", f"relays {relays}")
            logged = LoggedEntry(last + 1, ask.token, runner, time.time() * 1000, ask.entry)
            body = msgspec.json.encode(ask.entry)
            db.execute(
                f"INSERT INTO {OURS}record VALUES (?, ?, ?, ?, ?)",
                (logged.seq, logged.token, runner, logged.at_ms, body),
            )
        return logged

    def page(self, since: int, many: int = PAGE) -> MigrationLogPage:
        rows = self._db.execute(
            f"SELECT seq, token, runner, at, body FROM {OURS}record WHERE seq > ? ORDER BY seq LIMIT ?",
            (since, many),
        )
        entries = [
            LoggedEntry(seq, token, runner, at, msgspec.json.decode(body, type=LogEntry))
            for seq, token, runner, at, body in rows
        ]
        return MigrationLogPage(entries, self.last())

    # Relays

    def told(self, relay: int) -> None:
        """A relay is about to be told of the record: from now on closings wait for it."""
        if self._db.execute(f"SELECT 1 FROM {OURS}seen WHERE relay = ?", (relay,)).fetchone() is None:
            with self._change("told") as db:
                db.execute(f"INSERT INTO {OURS}seen VALUES (?, 0)", (relay,))

    def seen(self, relay: int, seq: int) -> None:
        with self._change("seen") as db:
            db.execute(
                f"INSERT INTO {OURS}seen VALUES (?, ?) ON CONFLICT (relay) DO UPDATE SET seq = MAX(seq, excluded.seq)",
                (relay, min(seq, self.last())),
            )

    def unseen(self, closing: int) -> list[int]:
        rows = self._db.execute(f"SELECT relay FROM {OURS}seen WHERE seq < ? ORDER BY relay", (closing,))
        return [int(row[0]) for row in rows]

    def forget(self, token: int, relay: int) -> None:
        with self._change("forget") as db:
            self._fence(db, token)
            db.execute(f"DELETE FROM {OURS}seen WHERE relay = ?", (relay,))

    # Effects

    def marks(self, intent: int) -> EffectProgress:
        row = self._db.execute(
            f"SELECT COUNT(*), COALESCE(SUM(rows), 0) FROM {OURS}marks WHERE intent = ?", (intent,)
        ).fetchone()
        if not row[0]:
            return EffectProgress(0)
        cursor, more = self._db.execute(
            f"SELECT cursor, more FROM {OURS}marks WHERE intent = ? ORDER BY part DESC LIMIT 1", (intent,)
        ).fetchone()
        return EffectProgress(row[0], cursor, not more, row[1])

    def apply(self, ask: ApplyRequest) -> EffectProgress:
        """Has the effect of one part, unless its mark is there. Raises Denied; then nothing of it was had."""
        try:
            with self._change("apply") as db:
                self._fence(db, ask.token)
                row = db.execute(f"SELECT body FROM {OURS}record WHERE seq = ?", (ask.intent,)).fetchone()
                if row is None or msgspec.json.decode(row[0], type=LogEntry).kind != "intent":
                    raise Denied("no intent", f"entry {ask.intent} is none")
                had = db.execute(
                    f"SELECT 1 FROM {OURS}marks WHERE intent = ? AND part = ?", (ask.intent, ask.part)
                ).fetchone()
                if had is None:
                    self._effect(db, ask)
        except sqlite3.Error as fault:
            raise Denied("failed", f"{type(fault).__name__}: {fault}") from None
        return self.marks(ask.intent)

    def _effect(self, db: sqlite3.Connection, ask: ApplyRequest) -> None:
        cursor, more, rows, values = None, False, 0, dict[str, int | None]()
        if ask.span is not None:
            cursor, more, rows = self._reach(db, ask.span)
            values = {"low": LOWEST if ask.span.low is None else ask.span.low, "high": cursor}
        if ask.span is None or cursor is not None:
            db.set_authorizer(_authorize)
            try:
                for number, text in enumerate(ask.statements):
                    if number == len(ask.statements) - 1:
                        self.at("apply.mid")
                    db.execute(text, {name: value for name, value in values.items() if f":{name}" in text})
            finally:
                db.set_authorizer(None)
        if cursor is None and ask.span is not None:
            cursor = ask.span.low
        db.execute(f"INSERT INTO {OURS}marks VALUES (?, ?, ?, ?, ?)", (ask.intent, ask.part, cursor, more, rows))

    def _reach(self, db: sqlite3.Connection, span: BatchRange) -> tuple[int | None, bool, int]:
        """The last key of the next batch, or none where no row is left; whether more follow; how many."""
        low = LOWEST if span.low is None else span.low
        key, table = f'"{span.key}"', f'"{span.table}"'
        found = self._db.execute(
            f"SELECT {key} FROM {table} WHERE {key} > ? ORDER BY {key} LIMIT ?", (low, span.rows + 1)
        )
        rows = [int(row[0]) for row in found]
        if not rows:
            return None, False, 0
        return rows[: span.rows][-1], len(rows) > span.rows, min(len(rows), span.rows)


def _authorize(action: int, first: str | None, second: str | None, *_: str | None) -> int:
    if action in FORBIDDEN or any((name or "").lower().startswith(OURS) for name in (first, second)):
        return sqlite3.SQLITE_DENY
    return sqlite3.SQLITE_OK
