"""Carries out the decisions' actions in order: requests I/O from the host, sets timers and answers clients."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from lanelead.decisions.interface import (
    Action,
    Attempt,
    AttemptOutcome,
    CancelAttempt,
    CastVote,
    CheckHealth,
    CloseIdleConnections,
    Decisions,
    Endpoint,
    FailRequest,
    GossipEntry,
    LogEvent,
    PollEndpoints,
    RejectRequest,
    Request,
    RequestClass,
    RolloutPhase,
    RolloutState,
    SendGossip,
    SetTimer,
    StartAttempt,
    Ticks,
    Verdict,
    WatchEndpoints,
)
from lanelead.runtime.destination import Destination
from lanelead.runtime.driver_counters import DriverCounters
from lanelead.runtime.gossip_codec import encode_gossip
from lanelead.runtime.host_operations import HostOperations
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome
from lanelead.runtime.timer_queue import TimerQueue

if TYPE_CHECKING:  # only relays that heed migrations load these
    from lanelead.migrations.readiness import Readiness

# Outcomes after which an attempt surely does not run at its endpoint any more. After the others it may still run.
DEFINITE_OUTCOMES = (
    AttemptOutcome.SUCCEEDED,
    AttemptOutcome.ERROR,
    AttemptOutcome.REJECTED,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.NOT_SENT,
)


class ActionDispatcher:
    """Carries out the decisions' actions, and keeps the requests that wait for an answer.

    Attempts that the relay itself ends (cancelled, timed out, not sent) are queued in `attempts_to_stop` with their
    outcome. They are stopped, and the decisions notified, once all actions at hand are carried out; notifying the
    decisions during an action would make them re-entrant.
    """

    def __init__(
        self,
        *,
        decisions: Decisions,
        host: HostOperations,
        timers: TimerQueue,
        destinations: dict[Endpoint, Destination],
        readiness: Readiness | None,
        request_classes: Sequence[RequestClass],
    ) -> None:
        self.pending: dict[Request, PendingRequest] = {}
        self.counters = DriverCounters()
        self.attempts_to_stop: deque[tuple[Attempt, AttemptOutcome]] = deque()
        self._decisions = decisions
        self._host = host
        self._timers = timers
        self._destinations = destinations
        self._readiness = readiness
        self._request_classes = request_classes
        self._unreported_votes = 0  # withheld votes of which the decisions have not been notified yet
        # The gossip entries that were encoded last, and their messages: most gossip goes to several peers.
        self._encoded_entries: Sequence[GossipEntry] = ()
        self._encoded_payloads: list[bytes] = []
        self._running = False

    def run(self) -> None:
        """Carries out the decisions' actions, and those that follow from them, until none is left.

        A nested call returns at once, since the outer one carries out its actions.
        """
        if self._running:
            return
        self._running = True
        decisions = self._decisions
        try:
            while decisions.actions or self.attempts_to_stop or self._unreported_votes:
                actions = decisions.actions
                decisions.actions = []
                for action in actions:
                    # The most frequent actions come first, since this loop runs several times per request.
                    if isinstance(action, SetTimer):
                        self._timers.add(action.at, action.request)
                    elif isinstance(action, StartAttempt):
                        self._start_attempt(action.attempt)
                    elif isinstance(action, CancelAttempt):
                        self.attempts_to_stop.append((action.attempt, AttemptOutcome.CANCELLED))
                    else:
                        self._dispatch(action)
                if decisions.actions:
                    continue
                if self.attempts_to_stop:
                    attempt, outcome = self.attempts_to_stop.popleft()
                    self._stop_attempt(attempt, outcome)
                elif self._unreported_votes:
                    self._unreported_votes -= 1
                    decisions.rollout_updated(
                        RolloutState(0, 0, RolloutPhase.CANARY, 0.0, 0, True, AttemptOutcome.NOT_SENT)
                    )
        finally:
            self._running = False

    def answer(
        self, pending: PendingRequest, outcome: RequestOutcome, attempt: Attempt | None, answer: Any, retry_after: Ticks
    ) -> None:
        """Sends a client the final answer to its request; calls after the first one are ignored.

        `retry_after` is the time in ticks after which the client may retry.
        """
        if pending.answered:
            return
        pending.answered = True
        if pending.request is not None:
            self.pending.pop(pending.request, None)
        match outcome:
            case RequestOutcome.SUCCEEDED:
                self.counters.succeeded += 1
            case RequestOutcome.REJECTED:
                self.counters.rejected += 1
            case RequestOutcome.FAILED:
                self.counters.failed += 1
        pending.reply(pending, outcome, attempt, answer, retry_after)

    def record_end(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Counts an attempt's outcome and passes it to the migrations' readiness.

        Steps of a migration wait for attempts that may still run at their endpoint.
        """
        outcomes = self.counters.outcomes
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
        if self._readiness is not None:
            self._readiness.attempt_ended(attempt, outcome in DEFINITE_OUTCOMES)

    def _stop_attempt(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        if attempt.outcome is not None:
            return
        may_have_run = self._host.cancel_attempt(attempt)
        if not may_have_run and outcome is AttemptOutcome.TIMED_OUT:
            outcome = AttemptOutcome.CONNECT_FAILED
        pending = self.pending.get(attempt.request)
        if pending is not None:
            pending.timed_out = outcome is AttemptOutcome.TIMED_OUT
        self.record_end(attempt, outcome)
        self._decisions.attempt_ended(attempt, outcome, False, self._decisions.now - attempt.sent_at, None)

    def _start_attempt(self, attempt: Attempt) -> None:
        pending = self.pending.get(attempt.request)
        if pending is None or not pending.accepts_attempts:  # for example since its client has left
            self.attempts_to_stop.append((attempt, AttemptOutcome.NOT_SENT))
            return
        self.counters.attempts += 1
        self._timers.add(attempt.sent_at + attempt.timeout, attempt)
        if self._readiness is not None:
            destination = self._destinations.get(attempt.endpoint)
            if destination is not None:
                self._readiness.attempt_sent(destination.build, attempt)
        self._host.start_attempt(attempt, pending)

    def _dispatch(self, action: Action) -> None:
        match action:
            case RejectRequest(request, retry_after):
                self._answer_request(request, RequestOutcome.REJECTED, retry_after)
            case FailRequest(request):
                self._answer_request(request, RequestOutcome.FAILED, 0)
            case CheckHealth(endpoint):
                self._host.check_health(endpoint)
            case CloseIdleConnections(endpoint):
                self._host.close_idle_connections(endpoint)
            case SendGossip(peer, entries):
                self._send_gossip(peer, entries)
            case CastVote():
                self._cast_vote(action)
            case WatchEndpoints(on):
                self._host.watch_endpoints(on)
            case PollEndpoints():
                self._host.poll_endpoints()
            case LogEvent(text):
                self._host.log_event(text)

    def _answer_request(self, request: Request, outcome: RequestOutcome, retry_after: Ticks) -> None:
        pending = self.pending.get(request)
        if pending is not None:
            self.answer(pending, outcome, None, None, retry_after)

    def _cast_vote(self, vote: CastVote) -> None:
        """Casts a vote, but withholds one to promote past a stage whose migrations are not done.

        A withheld vote is reported to the decisions as one that could not be sent.
        """
        ready = self._readiness is None or self._readiness.allows_promotion(vote.build, vote.stage)
        if vote.verdict is Verdict.PROMOTE and not ready:
            self.counters.withheld_votes += 1
            self._unreported_votes += 1
        else:
            self._host.cast_vote(vote)

    def _send_gossip(self, peer: int | None, entries: Sequence[GossipEntry]) -> None:
        if entries is not self._encoded_entries:  # the same entries usually go to many peers
            self._encoded_entries = entries
            self._encoded_payloads = encode_gossip(entries, self._request_classes)
        self._host.send_gossip(peer, self._encoded_payloads)
