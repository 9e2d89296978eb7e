"""The load of the whole fleet as reported by relays: attempts in flight by endpoint, and latency."""

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
    """Estimates the fleet's mean latency as attempts in flight over the rate of responses (Little 1961).

    Each relay reports to the aggregators how many responses it got in the last `span`. It does not report the responses
    since its last report, because those would be missing after a lost message. Aggregators add up the reports and send
    the resulting latency to all relays. Reports expire after `span`.
    """

    def __init__(self, span: Ticks, now: Ticks) -> None:
        self._span = span
        self._began_at = now
        self._responses = DecayingSum(span)
        self._by_peer = dict[int, tuple[Ticks, int]]()  # time and number of responses of each peer's last report
        self._latency: Ticks = 0
        self._updated_at = now - span

    def record_responses(self, responses: int, now: Ticks) -> None:
        """Count responses that this relay received."""
        self._responses.add(now, responses)

    def own_count(self, rng: Random, now: Ticks) -> CompletionCount:
        """Return this relay's report.

        The count is rounded at random, since each of hundreds of relays has only few responses.
        """
        return CompletionCount(int(self._responses.read(now) + rng.random()))

    def receive(self, peer: int, entry: GossipEntry, now: Ticks) -> None:
        """Apply a peer's report of responses or of the fleet's latency; ignore entries of other kinds."""
        if isinstance(entry, CompletionCount):
            self._by_peer[peer] = (now, entry.count)
        elif isinstance(entry, FleetLatency):
            self._latency = entry.latency
            self._updated_at = now

    def measure(self, in_flight: int, min_responses: int, now: Ticks) -> list[FleetLatency]:
        """Return the fleet's latency as a list of one entry, to be sent as gossip.

        The list is empty until two spans have passed, and with fewer than `min_responses` in the last span.
        """
        self._by_peer = {peer: report for peer, report in self._by_peer.items() if report[0] > now - self._span}
        responses = self._responses.read(now) + sum(count for _, count in self._by_peer.values())
        if responses < min_responses or now < self._began_at + 2 * self._span:
            return []
        self._latency = int(in_flight / responses * self._span)
        self._updated_at = now
        return [FleetLatency(self._latency)]

    def latency(self, now: Ticks) -> Ticks | None:
        """Return the latency last measured or reported, None if it has expired."""
        return self._latency if self._updated_at > now - self._span else None


class FleetInFlight:
    """The number of attempts that the other relays have in flight at each endpoint.

    An aggregator receives each relay's own counts and adds them up; any other relay receives the totals.
    """

    def __init__(self, span: Ticks) -> None:
        self._span = span  # after which reports expire
        self._by_peer = dict[int, tuple[Ticks, list[InFlightCount]]]()
        self._last_reported: list[EndpointState] = []  # the endpoints of this relay's last report
        self._others = dict[EndpointState, int]()
        self._updated_at = -span
        self._unlisted_bound = 0  # the most attempts at an endpoint missing from the last totals

    def own_counts(self, endpoints: Iterable[EndpointState]) -> list[InFlightCount]:
        """Return this relay's own attempts in flight by endpoint.

        Once none are left it reports zeros a single time, because without a report the aggregators would count its last
        one until that expires.
        """
        busy = [endpoint for endpoint in endpoints if endpoint.in_flight]
        counts = [InFlightCount(endpoint, len(endpoint.in_flight)) for endpoint in busy or self._last_reported]
        self._last_reported = busy
        return counts

    def receive(self, peer: int | None, entries: Sequence[InFlightEntry], now: Ticks) -> None:
        """Replace a peer's counts with the reported ones; with `peer` None, replace the totals over all relays.

        The totals include this relay's own attempts.
        """
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
        """Add up the peers' counts, and return the totals including this relay's own, the largest first."""
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

    def other_relays_attempts(self, endpoint: EndpointState, now: Ticks) -> int:
        """Return an upper bound of the other relays' attempts in flight at an endpoint, 0 without a recent report."""
        attempts = self._others.get(endpoint, self._unlisted_bound - len(endpoint.in_flight))
        return max(0, attempts) if self._updated_at > now - self._span else 0


def _unlisted_bound(entries: Sequence[InFlightEntry], counts: Sequence[InFlightCount]) -> int:
    """Return the most attempts that an endpoint can have which is missing from a message of totals.

    That is the first bound in the message. Without one, a full message may have left out endpoints with as many
    attempts as its last entry; they must not be treated as idle.
    """
    for entry in entries:
        if isinstance(entry, InFlightBound):
            return entry.attempts
    return counts[-1].attempts if len(counts) >= MAX_IN_FLIGHT_COUNTS else 0
