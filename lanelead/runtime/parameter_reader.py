"""The figures that a relay is told at its start, read by path: the bench's pairs, or a configuration's JSON.

The bench adapter and the relay on the platform share it. Only the standard library is imported here.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, TypeVar

from lanelead.decisions.interface import (
    CanaryLimits,
    DeduplicationScope,
    Idempotency,
    Prices,
    PromotionControl,
    RelayPosition,
    RequestClass,
    ResourceQuota,
    ServiceLimits,
    Tenant,
    Ticks,
    VotingRules,
)

T = TypeVar("T")


class ParameterError(Exception):
    """The input does not follow the wire's form."""


IDEMPOTENCY_WORDS = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
PROMOTION_CONTROL_WORDS = {
    "first_voice": PromotionControl.FIRST_VOTE,
    "by_count": PromotionControl.VOTE_COUNT,
    "automatic": PromotionControl.TIMER,
}


def lookup_word(table: Mapping[str, T], word: str) -> T:
    if word not in table:
        raise ParameterError(f"unknown word {word!r}")
    return table[word]


def parse_integer(word: str) -> int:
    try:
        return int(word)
    except ValueError:
        raise ParameterError(f"not a whole number: {word!r}") from None


def parse_number(word: str, absent: float = 0.0) -> float:
    if word == "-":
        return absent
    try:
        value = float(word)
    except ValueError:
        raise ParameterError(f"not a number: {word!r}") from None
    if not math.isfinite(value):
        raise ParameterError(f"not a finite number: {word!r}")
    return value


def parse_ticks(word: str) -> Ticks:
    """Milliseconds, as whole tenths; part of a tenth is dropped, so that no limit is stretched."""
    return math.floor(parse_number(word) * 10 + 1e-6)


def format_value(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def flatten_pairs(nested: Any, path: str = "") -> Iterator[str]:
    """A nested object as the pairs of an opening, in the bench's manner."""
    if isinstance(nested, dict):
        for name, value in nested.items():
            yield from flatten_pairs(value, f"{path}.{name}" if path else str(name))
    elif isinstance(nested, list) and any(isinstance(value, dict | list) for value in nested):
        yield f"{path}.count={len(nested)}"
        for place, value in enumerate(nested):
            yield from flatten_pairs(value, f"{path}.{place}")
    elif isinstance(nested, list):
        yield f"{path}={','.join(format_value(value) for value in nested)}"
    else:
        yield f"{path}={format_value(nested)}"


class ParameterReader:
    """Pairs of path and value, read by path; what this project does not know is skipped."""

    def __init__(self, words: Sequence[str]) -> None:
        self._pairs: dict[str, str] = {}
        for word in words:
            path, mark, value = word.partition("=")
            if not mark:
                raise ParameterError(f"not a pair: {word!r}")
            self._pairs[path] = value

    def text(self, path: str, absent: str = "-") -> str:
        return self._pairs.get(path, absent)

    def number(self, path: str, absent: float = 0.0) -> float:
        return parse_number(self.text(path), absent)

    def integer(self, path: str, absent: int = 0) -> int:
        return int(self.number(path, absent))

    def ticks(self, path: str) -> Ticks:
        return parse_ticks(self.text(path))

    def flag(self, path: str) -> bool:
        return self.text(path) in ("true", "1")

    def texts(self, path: str) -> list[str]:
        return [word for word in self.text(path, "").split(",") if word not in ("", "-")]

    def numbers(self, path: str) -> tuple[float, ...]:
        return tuple(parse_number(word) for word in self.texts(path))

    def items(self, path: str, read: Callable[[str], T]) -> list[T]:
        return [read(f"{path}.{place}.") for place in range(self.integer(f"{path}.count"))]

    def request_class(self, at: str) -> RequestClass:
        return RequestClass(
            name=self.text(at + "name"),
            latency_objective=self.ticks(at + "aimMs"),
            timeout=self.ticks(at + "deadlineMs"),
            value=self.number(at + "credit", 1.0),
            late_value=self.number(at + "lateWorth"),
            idempotency=lookup_word(IDEMPOTENCY_WORDS, self.text(at + "repeat")),
            deduplication_scope=lookup_word(
                {scope.value: scope for scope in DeduplicationScope}, self.text(at + "group", "all")
            ),
            deduplication_window=self.ticks(at + "windowMs"),
            streaming=self.flag(at + "streaming"),
            objective_stretch=self.number(at + "aimStretch"),
        )

    def request_classes(self) -> list[RequestClass]:
        return self.items("requestClasses", self.request_class)

    def tenants(self) -> list[Tenant]:
        def member(at: str) -> Tenant:
            return Tenant(self.text(at + "name"), self.number(at + "quotaPerS"), self.number(at + "share"))

        return self.items("accounts", member)

    def position(self) -> RelayPosition:
        return RelayPosition(self.integer("me"), self.integer("instances", 1), self.text("zone"))

    def resource_quota(self) -> ResourceQuota:
        return ResourceQuota(
            max_attempts=self.integer("allowed.attemptsCap", 1),
            max_in_flight=self.integer("allowed.openCap"),
            max_streams=self.integer("allowed.maxStreams", 1),
            may_cancel=self.flag("allowed.mayCancel"),
            health_checks=self.flag("allowed.probes"),
            gossip=self.flag("allowed.peers"),
            hedging=self.flag("allowed.secondCopies"),
            advises_retry=self.flag("allowed.retryAfter"),
            max_retry_after=self.ticks("allowed.maxRetryAfterMs"),
            connect_timeout=self.ticks("allowed.connectTimeoutMs"),
            idle_timeout=self.ticks("allowed.connIdleMs"),
        )

    def service_limits(self) -> ServiceLimits:
        return ServiceLimits(
            response_slack=self.ticks("contract.answerSlackMs"),
            drain_grace=self.ticks("contract.drainGraceMs"),
            slow_start_share=self.number("contract.coldFrom", 1.0),
            slow_start_time=self.ticks("contract.coldMs"),
            overload_multiple=self.number("contract.fallMultiple", 1.0),
            overload_time=self.ticks("contract.fallMs"),
            subscribe=self.text("discovery") == "subscribe",
            poll_within=self.ticks("contract.askWithinMs"),
            tick=self.ticks("tickMs"),
        )

    def canary_limits(self) -> CanaryLimits:
        return CanaryLimits(
            shares=self.numbers("familyInfo.shares") or (1.0,),
            exposure_limits=self.numbers("familyInfo.mostShares") or (1.0,),
            uncounted_attempts=self.number("familyInfo.uncounted"),
            window=self.ticks("familyInfo.countedOverMs"),
            by_class=self.text("familyInfo.capScope") == "each_class",
            guarded_stages=self.integer("familyInfo.guardedStages"),
            sticky_keys=self.flag("familyInfo.keysStay"),
            in_place=self.text("familyInfo.swap") == "replace",
        )

    def voting_rules(self) -> VotingRules:
        return VotingRules(
            control=lookup_word(PROMOTION_CONTROL_WORDS, self.text("familyInfo.decidedBy", "first_voice")),
            promote_votes=self.integer("familyInfo.onVotes"),
            rollback_votes=self.integer("familyInfo.noesNeeded"),
            hold_votes=self.integer("familyInfo.toPause"),
            min_stage_time=self.ticks("familyInfo.minDwellMs"),
            automatic_stage_time=self.ticks("familyInfo.autoAfterMs"),
            vote_timeout=self.ticks("familyInfo.apiTimeoutMs"),
            vote_lifetime=self.ticks("familyInfo.voteTtlMs"),
            votes_per_second=self.number("familyInfo.voteAllowance"),
            delay_price=self.number("familyInfo.delayPrice"),
            harm_price=self.number("familyInfo.harmPrice"),
            complaint_share=self.number("familyInfo.complaintShare"),
        )

    def prices(self) -> Prices:
        return Prices(
            health_check=self.number("prices.probe"),
            gossip=self.number("prices.peer"),
            waste=self.number("prices.waste"),
            late_failure=self.number("prices.lateFail"),
            zone_crossing=self.number("prices.crossZone"),
            handshake=self.number("prices.handshake"),
            connection=self.number("prices.connection"),
            over_quota_value=self.number("overShareWorth", 1.0),
        )
