"""The load of the whole fleet as relays report it: attempts in flight by endpoint, and latency. Nothing decides."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from random import Random

from lanelead.decisions.counters import DecayingSum
from lanelead.decisions.endpoint_state import EndpointState, state_of
from lanelead.decisions.interface import (
    MAX_IN_FLIGHT_COUNTS,
    CompletionCount,
    Endpoint,
    FleetLatency,
    GossipEntry,
    InFlightBound,
    InFlightCount,
    InFlightEntry,
    Ticks,
)


class LatencyEstimator:
    """The mean latency of attempts over the whole fleet: those in flight over the rate of responses (Little 1961).

    Each relay reports to the aggregators how many responses it got in the last `span`, not what came since its last
    report, so a lost message loses no responses. Aggregators add up and report the latency to all; a report older
    than `span` is not known any more.
    """

    def __init__(self, span: Ticks, now: Ticks) -> None:
        self._span = span
        self._began_at = now
        self._responses = DecayingSum(span)
        self._by_peer = dict[int, tuple[Ticks, int]]()  # when a peer reported, and its responses
        self._latency: Ticks = 0
        self._updated_at = now - span

    def record_answers(self, responses: int, now: Ticks) -> None:
        """Count responses that this relay got."""
        self._responses.add(now, responses)

    def own_count(self, rng: Random, now: Ticks) -> CompletionCount:
        """Return this relay's own report, rounded at random: each of hundreds of relays has few responses."""
        return CompletionCount(int(self._responses.read(now) + rng.random()))

    def receive(self, peer: int, entry: GossipEntry, now: Ticks) -> None:
        """Take over a peer's report; entries of other kinds are ignored."""
        if isinstance(entry, CompletionCount):
            self._by_peer[peer] = (now, entry.count)
        elif isinstance(entry, FleetLatency):
            self._latency = entry.latency
            self._updated_at = now

    def measure(self, in_flight: int, min_responses: int, now: Ticks) -> list[FleetLatency]:
        """Return the fleet's latency, or nothing before two spans have passed or with too few responses in one."""
        self._by_peer = {peer: report for peer, report in self._by_peer.items() if report[0] > now - self._span}
        responses = self._responses.read(now) + sum(count for _, count in self._by_peer.values())
        if responses < min_responses or now < self._began_at + 2 * self._span:
            return []
        self._latency = int(in_flight / responses * self._span)
        self._updated_at = now
        return [FleetLatency(self._latency)]

    def latency(self, now: Ticks) -> Ticks | None:
        """Return the latency last measured or reported, None where that is too old."""
        return self._latency if self._updated_at > now - self._span else None


class FleetInFlight:
    """Attempts that the other relays have in flight at each endpoint.

    An aggregator receives each relay's own attempts and adds them up; any other relay receives the totals of all.
    """

    def __init__(self, span: Ticks) -> None:
        self._span = span  # what is older than this is not known any more
        self._by_peer = dict[int, tuple[Ticks, list[InFlightCount]]]()
        self._last_reported: list[EndpointState] = []  # where this relay last reported attempts
        self._others = dict[EndpointState, int]()
        self._updated_at = -span
        self._unlisted_bound = 0  # no endpoint that the last totals left out has more attempts

    def own_counts(self, endpoints: Iterable[EndpointState]) -> list[InFlightCount]:
        """Return this relay's own attempts by endpoint.

        When none are left it reports zeros once: after silence the aggregators would count its last report until
        that is too old.
        """
        busy = [endpoint for endpoint in endpoints if endpoint.in_flight]
        counts = [InFlightCount(endpoint, len(endpoint.in_flight)) for endpoint in busy or self._last_reported]
        self._last_reported = busy
        return counts

    def receive(self, peer: int | None, entries: Sequence[InFlightEntry], now: Ticks) -> None:
        """Take over all that a peer has in flight itself; with no peer, totals that include this relay's own."""
        counts = [entry for entry in entries if isinstance(entry, InFlightCount)]
        if peer is not None:
            self._by_peer[peer] = (now, counts)
            return
        self._updated_at = now
        self._others = {}
        for count in counts:
            endpoint = state_of(count.endpoint)
            self._others[endpoint] = count.attempts - len(endpoint.in_flight)
        self._unlisted_bound = _unlisted_bound(entries, counts)

    def aggregate(self, own: Iterable[InFlightCount], now: Ticks) -> list[InFlightCount]:
        """Add up what the peers reported, and return the totals with this relay's own, the largest first."""
        self._by_peer = {peer: report for peer, report in self._by_peer.items() if report[0] > now - self._span}
        self._updated_at = now
        self._others = {}
        self._unlisted_bound = 0
        for _, counts in self._by_peer.values():
            for count in counts:
                endpoint = state_of(count.endpoint)
                self._others[endpoint] = self._others.get(endpoint, 0) + count.attempts
        total = Counter[Endpoint](self._others)
        total.update({count.endpoint: count.attempts for count in own})
        return [InFlightCount(endpoint, attempts) for endpoint, attempts in total.most_common()]

    def others_at(self, endpoint: EndpointState, now: Ticks) -> int:
        """Return how many attempts the others have at an endpoint at the most, 0 where nothing is known."""
        attempts = self._others.get(endpoint, self._unlisted_bound - len(endpoint.in_flight))
        return max(0, attempts) if self._updated_at > now - self._span else 0


def _unlisted_bound(entries: Sequence[InFlightEntry], counts: Sequence[InFlightCount]) -> int:
    """Return the most attempts that an endpoint may have which a message of totals leaves out.

    The first bound in the message says so. Without one, a full message may have left out endpoints with as many
    attempts as its last entry has; they are not idle.
    """
    for entry in entries:
        if isinstance(entry, InFlightBound):
            return entry.attempts
    return counts[-1].attempts if len(counts) >= MAX_IN_FLIGHT_COUNTS else 0
