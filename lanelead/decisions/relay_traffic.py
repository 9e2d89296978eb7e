"""One relay's traffic as decaying sums, and its outcomes not yet sent to peers; makes no decisions."""

from __future__ import annotations

from collections.abc import Sequence

from lanelead.decisions.counters import DecayingSum
from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.interface import OutcomeObservation, RequestClass, Tenant, Ticks


class RelayTraffic:
    """Counts of one relay's requests and attempts, as decaying sums with time constant `span`."""

    def __init__(self, span: Ticks) -> None:
        self.received = DecayingSum(span)  # requests received
        self.rejected = DecayingSum(span)  # requests rejected
        self.hedged = DecayingSum(span)  # hedged requests sent
        self.completed = DecayingSum(span)  # successful attempts
        self.served = DecayingSum(span)  # attempts that kept an endpoint busy, including those reported by peers


class OnTimeCounters(dict[tuple[Tenant | None, RequestClass], tuple[DecayingSum, DecayingSum]]):
    """Decaying sums of ended attempts and of those that ended on time, by tenant and request class.

    Entries are created on first access: most of the many thousand tenants never use a given relay.
    """

    def __init__(self, span: Ticks) -> None:
        super().__init__()
        self._span = span

    def __missing__(self, key: tuple[Tenant | None, RequestClass]) -> tuple[DecayingSum, DecayingSum]:
        """Create the two sums of a tenant and request class."""
        sums = (DecayingSum(self._span), DecayingSum(self._span))
        self[key] = sums
        return sums


class ObservationBuffer:
    """Outcomes that this relay has yet to send or forward to peers, by endpoint, request class and build."""

    def __init__(self, fault_kinds: int) -> None:
        self._fault_kinds = fault_kinds
        self._pending: dict[tuple[EndpointState, RequestClass, int], OutcomeObservation] = {}

    def add(self, endpoint: EndpointState, request_class: RequestClass, outcomes: int, faults: Sequence[int]) -> None:
        """Add outcomes, given with the number of faults of each kind in the order of `Fault`."""
        key = (endpoint, request_class, endpoint.build)
        observation = self._pending.get(key)
        if observation is None:
            observation = OutcomeObservation(endpoint, request_class, endpoint.build, 0, [0] * self._fault_kinds)
            self._pending[key] = observation
        observation.outcomes += outcomes
        observation.faults = [old + new for old, new in zip(observation.faults, faults, strict=True)]

    def take(self) -> list[OutcomeObservation]:
        """Return all observations and clear the buffer."""
        observations = [*self._pending.values()]
        self._pending = {}
        return observations
