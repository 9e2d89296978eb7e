"""The wire's text form: events in, acts out, and the figures read at start."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar

from lanelead.interface import (
    Allowance,
    Condition,
    Control,
    Coverage,
    Duties,
    Fate,
    Lane,
    Member,
    Place,
    Poll,
    Repeat,
    Report,
    Scope,
    Tariff,
    Ticks,
    Trial,
)

T = TypeVar("T")


class Malformed(Exception):
    """The input does not follow the wire's form."""


FATES = {
    "success": Fate.DONE,
    "failure": Fate.ERROR,
    "overloaded": Fate.TURNED_AWAY,
    "timed_out": Fate.TIMED_OUT,
    "unreachable": Fate.UNREACHABLE,
    "broken": Fate.CUT,
    "withdrawn": Fate.CALLED_OFF,
    "void": Fate.UNSENT,
}
CONDITIONS = {"1": Condition.READY, "2": Condition.DRAINING, "3": Condition.GONE}
COVERAGES = {"4": Coverage.CHANGES, "2": Coverage.FULL, "0": Coverage.CACHED, "1": Coverage.FAILED}
REPEATS = {
    "read_like": Repeat.PURE,
    "idempotency_key": Repeat.RECEIPTED,
    "non_idempotent": Repeat.EFFECTFUL,
}
CONTROLS = {
    "first_voice": Control.FIRST_VOICE,
    "by_count": Control.BY_COUNT,
    "automatic": Control.AUTOMATIC,
}
FIELDS = {  # how many values each event carries
    "FOR": 1,
    "TICK": 2,
    "OVER_TO_YOU": 0,
    "MANIFEST": 2,
    "ENTRY": 8,
    "DIRECTORY_UPDATE": 3,
    "ASK": 8,
    "ACCEPTED": 4,
    "STOP": 0,
    "TIMED_OUT_CLIENT": 1,
    "HEARD": 2,
    "BAD_ANSWER": 3,
    "ROLLOUT_STATE": 7,
    "ANSWER": 7,
    "PERIOD_SUMS": 6,
    "PROBE_DONE": 4,
    "ELAPSED": 1,
}
ID = re.compile(r"[0-9a-f]{16}\Z")


def split(line: str) -> list[str]:
    """One line as its parts, checked against the number of values its name calls for."""
    parts = line.rstrip("\n").split(" ")
    if parts[0] == "BEGIN":
        if len(parts) < 2:
            raise Malformed(f"BEGIN without a seed: {line!r}")
    elif FIELDS.get(parts[0]) != len(parts) - 1:
        raise Malformed(f"unknown message or wrong number of values: {line[:200]!r}")
    return parts


def known(table: Mapping[str, T], word: str) -> T:
    if word not in table:
        raise Malformed(f"unknown word {word!r}")
    return table[word]


def whole(word: str) -> int:
    try:
        return int(word)
    except ValueError:
        raise Malformed(f"not a whole number: {word!r}") from None


def number(word: str, absent: float = 0.0) -> float:
    if word == "-":
        return absent
    try:
        value = float(word)
    except ValueError:
        raise Malformed(f"not a number: {word!r}") from None
    if not math.isfinite(value):
        raise Malformed(f"not a finite number: {word!r}")
    return value


def ticks(word: str) -> Ticks:
    """Milliseconds, as whole tenths; part of a tenth is dropped, so that no limit is stretched."""
    return math.floor(number(word) * 10 + 1e-6)


def flag(word: str) -> bool:
    if word not in ("0", "1", "-"):
        raise Malformed(f"not a flag: {word!r}")
    return word == "1"


def ident(word: str) -> str:
    if not ID.match(word):
        raise Malformed(f"not an id: {word!r}")
    return word


def octets(word: str) -> bytes:
    try:
        return b"" if word == "-" else bytes.fromhex(word)
    except ValueError:
        raise Malformed(f"not hex: {word!r}") from None


def report(word: str, names: Sequence[str]) -> Report | None:
    if word == "-":
        return None
    values = word.split(",")
    if len(values) != len(names):
        raise Malformed(f"a load report of {len(values)} values, not {len(names)}")
    return {name: number(value) for name, value in zip(names, values, strict=True)}


def millis(time: Ticks) -> str:
    return f"{time / 10:.1f}"


class Opening:
    """The pairs of a BEGIN line, read by path; what this project does not know is skipped."""

    def __init__(self, words: Sequence[str]) -> None:
        self._pairs: dict[str, str] = {}
        for word in words:
            path, mark, value = word.partition("=")
            if not mark:
                raise Malformed(f"not a pair: {word!r}")
            self._pairs[path] = value

    def word(self, path: str, absent: str = "-") -> str:
        return self._pairs.get(path, absent)

    def number(self, path: str, absent: float = 0.0) -> float:
        return number(self.word(path), absent)

    def whole(self, path: str, absent: int = 0) -> int:
        return int(self.number(path, absent))

    def ticks(self, path: str) -> Ticks:
        return ticks(self.word(path))

    def flag(self, path: str) -> bool:
        return self.word(path) in ("true", "1")

    def words(self, path: str) -> list[str]:
        return [word for word in self.word(path, "").split(",") if word not in ("", "-")]

    def numbers(self, path: str) -> tuple[float, ...]:
        return tuple(number(word) for word in self.words(path))

    def many(self, path: str, read: Callable[[str], T]) -> list[T]:
        return [read(f"{path}.{place}.") for place in range(self.whole(f"{path}.count"))]

    def lane(self, at: str) -> Lane:
        return Lane(
            name=self.word(at + "name"),
            expected_time=self.ticks(at + "aimMs"),
            outer_limit=self.ticks(at + "deadlineMs"),
            value=self.number(at + "credit", 1.0),
            late_value=self.number(at + "lateWorth"),
            repeat=known(REPEATS, self.word(at + "repeat")),
            scope=known({scope.value: scope for scope in Scope}, self.word(at + "group", "all")),
            memory=self.ticks(at + "windowMs"),
            streaming=self.flag(at + "streaming"),
            stretch=self.number(at + "aimStretch"),
        )

    def lanes(self) -> list[Lane]:
        return self.many("requestClasses", self.lane)

    def members(self) -> list[Member]:
        def member(at: str) -> Member:
            return Member(self.word(at + "name"), self.number(at + "quotaPerS"), self.number(at + "share"))

        return self.many("accounts", member)

    def place(self) -> Place:
        return Place(self.whole("me"), self.whole("instances", 1), self.word("zone"))

    def allowance(self) -> Allowance:
        return Allowance(
            trips=self.whole("allowed.attemptsCap", 1),
            open_lookups=self.whole("allowed.openCap"),
            streams=self.whole("allowed.maxStreams", 1),
            calling_off=self.flag("allowed.mayCancel"),
            probes=self.flag("allowed.probes"),
            peers=self.flag("allowed.peers"),
            second_copies=self.flag("allowed.secondCopies"),
            retry_advice=self.flag("allowed.retryAfter"),
            longest_advice=self.ticks("allowed.maxRetryAfterMs"),
            connect_limit=self.ticks("allowed.connectTimeoutMs"),
        )

    def duties(self) -> Duties:
        return Duties(
            answer_slack=self.ticks("contract.answerSlackMs"),
            drain_grace=self.ticks("contract.drainGraceMs"),
            cold_share=self.number("contract.coldFrom", 1.0),
            cold_time=self.ticks("contract.coldMs"),
            fall_multiple=self.number("contract.fallMultiple", 1.0),
            fall_time=self.ticks("contract.fallMs"),
            subscribe=self.word("discovery") == "subscribe",
            ask_within=self.ticks("contract.askWithinMs"),
            tick=self.ticks("tickMs"),
        )

    def trial(self) -> Trial:
        return Trial(
            shares=self.numbers("familyInfo.shares") or (1.0,),
            caps=self.numbers("familyInfo.mostShares") or (1.0,),
            free=self.number("familyInfo.uncounted"),
            window=self.ticks("familyInfo.countedOverMs"),
            by_lane=self.word("familyInfo.capScope") == "each_class",
            guarded=self.whole("familyInfo.guardedStages"),
            keys_stay=self.flag("familyInfo.keysStay"),
            in_place=self.word("familyInfo.swap") == "replace",
        )

    def poll(self) -> Poll:
        return Poll(
            control=known(CONTROLS, self.word("familyInfo.decidedBy", "first_voice")),
            on_votes=self.whole("familyInfo.onVotes"),
            back_votes=self.whole("familyInfo.noesNeeded"),
            hold_votes=self.whole("familyInfo.toPause"),
            least_stage=self.ticks("familyInfo.minDwellMs"),
            timer_stage=self.ticks("familyInfo.autoAfterMs"),
            answer_limit=self.ticks("familyInfo.apiTimeoutMs"),
            vote_life=self.ticks("familyInfo.voteTtlMs"),
            votes_a_second=self.number("familyInfo.voteAllowance"),
            delay_price=self.number("familyInfo.delayPrice"),
            harm_price=self.number("familyInfo.harmPrice"),
            complaint_share=self.number("familyInfo.complaintShare"),
        )

    def tariff(self) -> Tariff:
        return Tariff(
            probe=self.number("prices.probe"),
            peer=self.number("prices.peer"),
            waste=self.number("prices.waste"),
            late_fail=self.number("prices.lateFail"),
            zone_crossing=self.number("prices.crossZone"),
            handshake=self.number("prices.handshake"),
            connection=self.number("prices.connection"),
            over_share=self.number("overShareWorth", 1.0),
        )
