"""Reads the parameters that a relay is given at its start: `path=value` pairs, or a configuration's JSON as such pairs.

The simulator adapter and the PostgreSQL relay use it. The paths are names of the simulator's protocol; this module maps
them to the decisions' names. It imports only the standard library and the decisions.
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

ABSENT = "-"  # stands for a value that is not given
TICKS_PER_MS = 10
# Times may carry a rounding error: 0.29999999999999993 ms for 0.3 ms is still 3 ticks.
ROUNDING_SLACK_TICKS = 1e-6

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
    """A parameter's value cannot be parsed.

    `reason` tells what is wrong. `path` is the parameter's path, or empty if the value belongs to no parameter.
    """

    def __init__(self, reason: str, path: str = "") -> None:
        super().__init__(f"{path}: {reason}" if path else reason)
        self.reason = reason
        self.path = path


def parse_enumeration(table: Mapping[str, T], name: str, path: str = "") -> T:
    """Returns the value that `table` has for a name. Raises ParameterError if the name is unknown."""
    if name not in table:
        raise ParameterError(f"unknown value {name!r}, expected one of: {', '.join(table)}", path)
    return table[name]


def parse_integer(text: str) -> int:
    """Parses an integer. Raises ParameterError if the text is not one."""
    try:
        return int(text)
    except ValueError:
        raise ParameterError(f"expected an integer, found {text!r}") from None


def parse_number(text: str, default: float = 0.0, path: str = "") -> float:
    """Parses a finite number; returns `default` for a value that is not given ("-").

    Raises ParameterError if the text is not a finite number.
    """
    if text == ABSENT:
        return default
    try:
        value = float(text)
    except ValueError:
        raise ParameterError(f"expected a number, found {text!r}", path) from None
    if not math.isfinite(value):
        raise ParameterError(f"expected a finite number, found {text!r}", path)
    return value


def parse_ticks(text: str, path: str = "") -> Ticks:
    """Parses milliseconds and returns whole ticks, rounded down so that no limit gets longer."""
    return math.floor(parse_number(text, 0.0, path) * TICKS_PER_MS + ROUNDING_SLACK_TICKS)


def format_value(value: Any) -> str:
    """Formats a JSON value for a pair; spaces and commas become underscores, since they separate pairs and items."""
    if value is None:
        return ABSENT
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def flatten_pairs(nested: Any, path: str = "") -> Iterator[str]:
    """Yields a nested JSON object as `path=value` pairs.

    Names are joined by dots. A list of objects yields its length as `path.count`, and its items under their index; a
    list of plain values yields one pair with the values separated by commas.
    """
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
    """Reads `path=value` pairs by path; pairs that are never read are ignored.

    The constructor raises ParameterError for a text without "=". The reading methods raise it, with the path, if a
    value is not a number or not one of the expected names.
    """

    def __init__(self, pairs: Sequence[str]) -> None:
        self._values: dict[str, str] = {}
        for pair in pairs:
            path, separator, value = pair.partition("=")
            if not separator:
                raise ParameterError(f"expected path=value, found {pair!r}")
            self._values[path] = value

    def text(self, path: str, default: str = ABSENT) -> str:
        """Returns a value as text."""
        return self._values.get(path, default)

    def number(self, path: str, default: float = 0.0) -> float:
        """Returns a finite number."""
        return parse_number(self.text(path), default, path)

    def integer(self, path: str, default: int = 0) -> int:
        """Returns a number truncated to an integer."""
        return int(self.number(path, default))

    def ticks(self, path: str) -> Ticks:
        """Returns a time given in milliseconds as whole ticks."""
        return parse_ticks(self.text(path), path)

    def flag(self, path: str) -> bool:
        """Returns whether a value is "true" or "1"."""
        return self.text(path) in ("true", "1")

    def texts(self, path: str) -> list[str]:
        """Returns the values of a comma-separated list."""
        return [text for text in self.text(path, "").split(",") if text not in ("", ABSENT)]

    def numbers(self, path: str) -> tuple[float, ...]:
        """Returns the numbers of a comma-separated list."""
        return tuple(parse_number(text, path=path) for text in self.texts(path))

    def items(self, path: str, read: Callable[[str], T]) -> list[T]:
        """Calls `read` for each item of a list of objects, with its path prefix, such as "accounts.0."."""
        return [read(f"{path}.{index}.") for index in range(self.integer(f"{path}.count"))]

    def _enumeration(self, table: Mapping[str, T], path: str, default: str = ABSENT) -> T:
        return parse_enumeration(table, self.text(path, default), path)

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
        """Reads this relay's number, the number of relays, and its zone."""
        return RelayPosition(self.integer("me"), self.integer("instances", 1), self.text("zone"))

    def resource_quota(self) -> ResourceQuota:
        """Reads the limits on a relay's own resources, and which optional operations it may use."""
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
        """Reads the service's limits."""
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
        """Reads how much traffic a canary build may receive."""
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
        """Reads the prices of operations and failures."""
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
