"""What passes through one relay, as decaying sums, and observations not yet sent to peers. Nothing decides."""

from __future__ import annotations

from collections.abc import Sequence

from lanelead.decisions.counters import DecayingSum
from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.interface import OutcomeObservation, RequestClass, Tenant, Ticks


class RelayTraffic:
    """Requests and attempts of one relay, each a decaying sum with time constant `span`."""

    def __init__(self, span: Ticks) -> None:
        self.received = DecayingSum(span)  # requests
        self.rejected = DecayingSum(span)  # requests
        self.hedged = DecayingSum(span)  # hedged requests sent
        self.completed = DecayingSum(span)  # attempts that succeeded
        self.served = DecayingSum(span)  # attempts that kept an endpoint busy, also those that peers reported


class OnTimeCounters(dict[tuple[Tenant | None, RequestClass], tuple[DecayingSum, DecayingSum]]):
    """By tenant and request class, the attempts that ended and those that ended in time.

    An entry is made when it is first read: most of the many thousand tenants never use a given relay.
    """

    def __init__(self, span: Ticks) -> None:
        super().__init__()
        self._span = span

    def __missing__(self, key: tuple[Tenant | None, RequestClass]) -> tuple[DecayingSum, DecayingSum]:
        """Make the two sums of a tenant and request class."""
        sums = (DecayingSum(self._span), DecayingSum(self._span))
        self[key] = sums
        return sums


class ObservationBuffer:
    """Outcomes that this relay saw, or forwards, and has not sent yet, by endpoint, request class and build."""

    def __init__(self, fault_kinds: int) -> None:
        self._fault_kinds = fault_kinds
        self._pending: dict[tuple[EndpointState, RequestClass, int], OutcomeObservation] = {}

    def add(self, endpoint: EndpointState, request_class: RequestClass, outcomes: int, faults: Sequence[int]) -> None:
        """Add outcomes, and how many of them were faults of each kind, in the order of the kinds."""
        key = (endpoint, request_class, endpoint.build)
        observation = self._pending.get(key)
        if observation is None:
            observation = OutcomeObservation(endpoint, request_class, endpoint.build, 0, [0] * self._fault_kinds)
            self._pending[key] = observation
        observation.outcomes += outcomes
        observation.faults = [old + new for old, new in zip(observation.faults, faults, strict=True)]

    def take(self) -> list[OutcomeObservation]:
        """Return all observations, and forget them."""
        observations = [*self._pending.values()]
        self._pending = {}
        return observations
