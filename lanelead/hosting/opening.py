"""The figures that a relay is told at its start, read by path: the bench's pairs, or a configuration's JSON.

The bench adapter and the relay on the platform share it. Only the standard library is imported here.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, TypeVar

from lanelead.decisions.interface import (
    Allowance,
    Control,
    Duties,
    Lane,
    Member,
    Place,
    Poll,
    Repeat,
    Scope,
    Tariff,
    Ticks,
    Trial,
)

T = TypeVar("T")


class Malformed(Exception):
    """The input does not follow the wire's form."""


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


def word_of(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def pairs_of(nested: Any, path: str = "") -> Iterator[str]:
    """A nested object as the pairs of an opening, in the bench's manner."""
    if isinstance(nested, dict):
        for name, value in nested.items():
            yield from pairs_of(value, f"{path}.{name}" if path else str(name))
    elif isinstance(nested, list) and any(isinstance(value, dict | list) for value in nested):
        yield f"{path}.count={len(nested)}"
        for place, value in enumerate(nested):
            yield from pairs_of(value, f"{path}.{place}")
    elif isinstance(nested, list):
        yield f"{path}={','.join(word_of(value) for value in nested)}"
    else:
        yield f"{path}={word_of(nested)}"


class Opening:
    """Pairs of path and value, read by path; what this project does not know is skipped."""

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
            idle_limit=self.ticks("allowed.connIdleMs"),
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
