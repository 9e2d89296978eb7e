"""The parameters that a relay is given at its start, read by path: pairs of the wire, or a configuration's JSON.

The simulator adapter and the relay on the platform share it. The paths are the wire's own words; this module maps them
to the decisions' names. Only the standard library is imported here.
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

ABSENT = "-"  # the wire's word for a value that is not given
TICKS_PER_MS = 10
ROUNDING_SLACK_TICKS = 1e-6  # 0.3 ms times 10 is a little less than 3 ticks

IDEMPOTENCY_BY_NAME = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
PROMOTION_CONTROL_BY_NAME = {
    "first_voice": PromotionControl.FIRST_VOTE,
    "by_count": PromotionControl.VOTE_COUNT,
    "automatic": PromotionControl.TIMER,
}
DEDUPLICATION_SCOPE_BY_NAME = {scope.value: scope for scope in DeduplicationScope}


class ParameterError(Exception):
    """A value does not follow the wire's form. `path` names the parameter, where it has one."""

    def __init__(self, reason: str, path: str = "") -> None:
        super().__init__(f"{path}: {reason}" if path else reason)
        self.reason = reason
        self.path = path


def parse_enumeration(table: Mapping[str, T], name: str, path: str = "") -> T:
    """Returns the value of a name on the wire. Raises ParameterError if the name is unknown."""
    if name not in table:
        raise ParameterError(f"unknown word {name!r}", path)
    return table[name]


def parse_integer(text: str) -> int:
    """Returns a whole number. Raises ParameterError if the text is none."""
    try:
        return int(text)
    except ValueError:
        raise ParameterError(f"not a whole number: {text!r}") from None


def parse_number(text: str, absent: float = 0.0, path: str = "") -> float:
    """Returns a finite number, `absent` for one that is not given. Raises ParameterError if the text is none."""
    if text == ABSENT:
        return absent
    try:
        value = float(text)
    except ValueError:
        raise ParameterError(f"not a number: {text!r}", path) from None
    if not math.isfinite(value):
        raise ParameterError(f"not a finite number: {text!r}", path)
    return value


def parse_ticks(text: str, path: str = "") -> Ticks:
    """Returns milliseconds as whole ticks; part of a tick is dropped, so that no limit is stretched."""
    return math.floor(parse_number(text, 0.0, path) * TICKS_PER_MS + ROUNDING_SLACK_TICKS)


def format_value(value: Any) -> str:
    """Returns a JSON value as a word of the wire, which has no spaces and no commas."""
    if value is None:
        return ABSENT
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def flatten_pairs(nested: Any, path: str = "") -> Iterator[str]:
    """Yields the `path=value` pairs of a nested JSON object, as the wire has them."""
    if isinstance(nested, dict):
        for name, value in nested.items():
            yield from flatten_pairs(value, f"{path}.{name}" if path else str(name))
    elif isinstance(nested, list) and any(isinstance(value, dict | list) for value in nested):
        yield f"{path}.count={len(nested)}"
        for index, value in enumerate(nested):
            yield from flatten_pairs(value, f"{path}.{index}")
    elif isinstance(nested, list):
        yield f"{path}={','.join(format_value(value) for value in nested)}"
    else:
        yield f"{path}={format_value(nested)}"


class ParameterReader:
    """Reads `path=value` pairs by path; pairs whose path is never read are skipped.

    All methods that read a number or a known word raise ParameterError with the path if the value is none.
    """

    def __init__(self, pairs: Sequence[str]) -> None:
        self._values: dict[str, str] = {}
        for pair in pairs:
            path, separator, value = pair.partition("=")
            if not separator:
                raise ParameterError(f"not a pair: {pair!r}")
            self._values[path] = value

    def text(self, path: str, absent: str = ABSENT) -> str:
        """Returns a value as it is."""
        return self._values.get(path, absent)

    def number(self, path: str, absent: float = 0.0) -> float:
        """Returns a finite number."""
        return parse_number(self.text(path), absent, path)

    def integer(self, path: str, absent: int = 0) -> int:
        """Returns a number without its fraction."""
        return int(self.number(path, absent))

    def ticks(self, path: str) -> Ticks:
        """Returns milliseconds as whole ticks."""
        return parse_ticks(self.text(path), path)

    def flag(self, path: str) -> bool:
        """Returns whether a flag is set; False if it is not given."""
        return self.text(path) in ("true", "1")

    def texts(self, path: str) -> list[str]:
        """Returns the values of a comma-separated list."""
        return [text for text in self.text(path, "").split(",") if text not in ("", ABSENT)]

    def numbers(self, path: str) -> tuple[float, ...]:
        """Returns the numbers of a comma-separated list."""
        return tuple(parse_number(text, path=path) for text in self.texts(path))

    def items(self, path: str, read: Callable[[str], T]) -> list[T]:
        """Reads each item of a list of objects by `read`, which is given the item's path with a dot after it."""
        return [read(f"{path}.{index}.") for index in range(self.integer(f"{path}.count"))]

    def _enumeration(self, table: Mapping[str, T], path: str, absent: str = ABSENT) -> T:
        return parse_enumeration(table, self.text(path, absent), path)

    def request_class(self, prefix: str) -> RequestClass:
        """Reads the request class whose paths begin with `prefix`."""
        return RequestClass(
            name=self.text(prefix + "name"),
            latency_objective=self.ticks(prefix + "aimMs"),
            timeout=self.ticks(prefix + "deadlineMs"),
            value=self.number(prefix + "credit", 1.0),
            late_value=self.number(prefix + "lateWorth"),
            idempotency=self._enumeration(IDEMPOTENCY_BY_NAME, prefix + "repeat"),
            deduplication_scope=self._enumeration(DEDUPLICATION_SCOPE_BY_NAME, prefix + "group", "all"),
            deduplication_window=self.ticks(prefix + "windowMs"),
            streaming=self.flag(prefix + "streaming"),
            objective_stretch=self.number(prefix + "aimStretch"),
        )

    def request_classes(self) -> list[RequestClass]:
        """Reads all request classes."""
        return self.items("requestClasses", self.request_class)

    def tenants(self) -> list[Tenant]:
        """Reads all tenants."""

        def tenant(prefix: str) -> Tenant:
            return Tenant(self.text(prefix + "name"), self.number(prefix + "quotaPerS"), self.number(prefix + "share"))

        return self.items("accounts", tenant)

    def position(self) -> RelayPosition:
        """Reads this relay's place among the relays."""
        return RelayPosition(self.integer("me"), self.integer("instances", 1), self.text("zone"))

    def resource_quota(self) -> ResourceQuota:
        """Reads what a relay may use."""
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
        """Reads the limits for all requests."""
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
        """Reads how much of the traffic a canary build may have."""
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
        """Reads how votes decide on a rollout."""
        return VotingRules(
            control=self._enumeration(PROMOTION_CONTROL_BY_NAME, "familyInfo.decidedBy", "first_voice"),
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
        """Reads what operations and failures cost."""
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
