"""One of the machines that hold the configuration: its rules, without sockets and clocks.

Rules:
 1. Every 0.5 s a machine gives a sign of life to each other one. Only an answer to its own sign counts, as of
    when the sign was sent: what was held up on the way makes nothing look fresh.
 2. Whoever hears of a higher head asks for the changes between, or for a snapshot where they are not kept.
 3. One history is followed: a machine of another, or one whose settings name other voters, is left alone.
 4. A voter that starts with nothing on its disk may have voted before, and abstains. Once it has heard, since
    its start, from so many voters that do vote that one of them has accepted whatever it once held as decided
    (with n voters and a majority of m: n - m + 1 others), it votes again from their highest head plus 3 on:
    that voter held all but the last version that this one held, and this one voted on one more at the most.
 5. In a first start every voter is empty. One that sees all the others empty, and none that votes, becomes
    ready, on disk; one that is ready begins to vote when it sees all ready, or one that votes. One that is
    empty where somebody votes is not part of a first start: rule 4.
 6. Nothing is proposed for version 1 but by a voter that votes: else rule 5 could miss a vote.
 7. One proposal at a time, the others wait, a bounded number of them. What is decided is told to all.
 8. A change that a voter has accepted and that is not decided a while later is finished by that voter, for
    this version only: its proposer may have ended behind its answer and before a word to the others.
 9. `heard`: when a majority of voters, with itself, last had no higher head than its own.

What is to be sent is in `calls`; whoever carries them tells `answered`, with none where no answer came.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from random import Random

from lanelead.configuration.agreement import LONGEST, Proposer, Unfit
from lanelead.configuration.messages import NEVER, Asked, Call, Seen
from lanelead.configuration.replica_state import Holding, Strange
from lanelead.configuration.store import StoreFault
from lanelead.protocols.configuration import (
    Accept,
    AcceptReply,
    Change,
    Heartbeat,
    LogPage,
    Prepare,
    Promise,
    Proposal,
    RejectedProposal,
)
from lanelead.protocols.configuration_replicas import SNAPSHOT_PAGES, DecidedChange, SnapshotPage

SIGNS = 0.5  # seconds
OUT = 12  # signs to one machine without an answer yet, at the most
FETCHES = 3  # machines that are asked for changes at a time
QUEUE = 64  # proposals
FINISH = 0.75  # seconds until a change that was accepted here and not decided is finished, at least
FINISH_LONGEST = 24.0  # the same for later tries


class Machine:
    """`told`: is called with what an operator should read, and what to do."""

    def __init__(
        self,
        number: int,
        voters: Sequence[int],
        others: Sequence[int],
        holding: Holding,
        rng: Random,
        now: float,
        told: Callable[[str, str], None] = lambda text, remedy: None,
    ) -> None:
        self.number, self.voters, self.holding = number, tuple(voters), holding
        self.seen = {other: Seen() for other in others}
        self.calls: list[Call] = []
        self.fault = ""  # of the store, at its last try
        self._rng, self._told, self._started = rng, told, now
        self._many = len(self.voters) // 2 + 1
        self._waiting: deque[Proposer] = deque()
        self._next_sign = now
        self._now = now
        self._accepted: tuple[int, float] | None = None  # a version, and when it is to be finished
        self._odd = ""  # what was told last of changes that could not be taken
        self._finishing = FINISH
        self._stand()

    @property
    def votes(self) -> bool:
        return self.number in self.voters and not self.holding.acceptor.abstains

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    @property
    def due(self) -> float:
        """When `tick` is to be called."""
        return min([self._next_sign] + [proposer.next for proposer in list(self._waiting)[:1]])

    @property
    def heard(self) -> float:
        """When a majority of the voters was last heard."""
        times = [self._now] if self.number in self.voters else []
        for voter in self.voters:
            seen = self.seen.get(voter)
            if seen is not None and seen.held is not None and not seen.empty:
                times.append(seen.held)
        times.sort(reverse=True)
        return times[self._many - 1] if len(times) >= self._many else self._started + NEVER

    def tick(self, now: float) -> None:
        self._now = max(self._now, now)
        if now >= self._next_sign:
            self._next_sign = now + SIGNS * self._rng.uniform(0.9, 1.1)
            for other, seen in self.seen.items():
                if seen.out < OUT:
                    seen.out += 1
                    self.calls.append(Call(other, self.sign(), now))
        self._finish(now)
        self._pump(now)

    def _finish(self, now: float) -> None:
        """Rule 8. Voters wait for times that differ, and longer each time: they would hinder each other."""
        acceptor = self.holding.acceptor
        if acceptor.change is None or acceptor.abstains:
            self._accepted, self._finishing = None, FINISH
            return
        if self._accepted is None or self._accepted[0] != acceptor.change.version:
            self._finishing = FINISH
            self._accepted = acceptor.change.version, now + FINISH * (1 + self._rng.random())
        elif now >= self._accepted[1] and not self._waiting:
            self._finishing = min(FINISH_LONGEST, self._finishing * 2)
            self._accepted = self._accepted[0], now + self._finishing * (1 + self._rng.random())
            change = acceptor.change
            what = Proposal(change.ident, change.entries)
            self._waiting.append(Proposer(self.number, self.voters, what, self.holding, self._rng, now, change))

    def sign(self) -> Heartbeat:
        holding = self.holding
        empty = self.number in self.voters and holding.acceptor.abstains
        return Heartbeat(self.number, holding.history, holding.head, empty, holding.ready and empty, list(self.voters))

    # What others ask. Each raises StoreFault where nothing may be said.

    def asked_prepare(self, ask: Prepare, now: float) -> Promise:
        if ask.group != self.holding.group and ask.version == self.holding.head + 1:
            return Promise("abstains", self.holding.head)
        if self.number not in self.voters:
            return Promise("abstains", self.holding.head)
        with self._disk():
            promise = self.holding.acceptor.prepare(ask)
        if promise.word == "behind":
            self._fetch(ask.ballot.machine, now)
        return promise

    def asked_accept(self, ask: Accept, now: float) -> AcceptReply:
        """Raises Unfit, too."""
        if ask.group != self.holding.group and ask.change.version == self.holding.head + 1:
            return AcceptReply("abstains", self.holding.head)
        if self.number not in self.voters:
            return AcceptReply("abstains", self.holding.head)
        with self._disk():
            vote = self.holding.acceptor.accept(ask)
        if vote.word == "behind":
            self._fetch(ask.ballot.machine, now)
        return vote

    def asked_decided(self, told: DecidedChange, now: float) -> None:
        if told.group == self.holding.group:
            self._learn([told.change])
            self._pump(now)

    def asked_sign(self, sign: Heartbeat, now: float) -> Heartbeat:
        seen = self.seen.get(sign.machine)
        if seen is not None and self._known(sign.machine, seen, sign) and sign.head > self.holding.head:
            self._fetch(sign.machine, now)
        return self.sign()

    def asked_log(self, since: int) -> LogPage:
        with self._disk():
            changes, gone = self.holding.log(since)
        return LogPage(self.holding.history, self.holding.head, changes, gone)

    def propose(self, proposal: Proposal, now: float) -> Proposer | RejectedProposal:
        """What to wait for: its `result`."""
        if len(self._waiting) >= QUEUE:
            return RejectedProposal("overloaded", f"{QUEUE} proposals wait already: ask again in a while")
        if self.holding.head == 0 and not self.votes:
            return RejectedProposal("abstains", "this machine holds nothing yet: ask another, or again in a while")
        proposer = Proposer(self.number, self.voters, proposal, self.holding, self._rng, now)
        if self._waiting and self._waiting[0].finishes is not None:
            self._waiting.popleft()  # any other one finishes that too, and first
        self._waiting.append(proposer)
        self._pump(now)
        return proposer

    # What came of calls

    def answered(
        self, call: Call, answer: Promise | AcceptReply | Heartbeat | LogPage | SnapshotPage | None, now: float
    ) -> None:
        self._now = max(self._now, now)
        seen, proposer = self.seen[call.to], call.proposer
        match call.body, answer:
            case Heartbeat(), _:
                seen.out -= 1
                if isinstance(answer, Heartbeat):
                    self._sign(call, seen, answer, now)
            case Prepare(), Promise() if proposer is not None:
                proposer.promised(call.to, call.body, answer, now)
                if answer.word == "ahead":
                    self._fetch(call.to, now)
            case Accept(), AcceptReply() if proposer is not None:
                proposer.voted(call.to, call.body, answer, now)
                if answer.word == "ahead":
                    self._fetch(call.to, now)
            case Asked(), _:
                seen.fetching = NEVER
                if isinstance(answer, LogPage):
                    self._log(call, seen, answer, now)
                elif isinstance(answer, SnapshotPage):
                    self._page(call, seen, answer, now)
                else:
                    seen.pages = []
        self._pump(now)

    def _sign(self, call: Call, seen: Seen, sign: Heartbeat, now: float) -> None:
        if (seen.sent is not None and call.sent < seen.sent) or not self._known(call.to, seen, sign):
            return
        seen.sent, seen.head, seen.history = call.sent, sign.head, sign.history
        seen.empty, seen.ready = sign.empty, sign.ready
        if sign.head <= self.holding.head:
            seen.held = call.sent
        else:
            self._fetch(call.to, now)
        self._stand()

    def _known(self, number: int, seen: Seen, sign: Heartbeat) -> bool:
        """Guards against versions of two histories taken for one, and majorities of two sets of voters."""
        mine, why = self.holding.history, ""
        if sign.machine != number:
            why = f"machine {sign.machine} answers at its address: mend the address in the settings"
        elif sorted(sign.voters) != sorted(self.voters):
            why = f"its settings name the voters {sorted(sign.voters)}: give all machines the same"
        elif mine and sign.history and sign.history != mine:
            why = f"it holds the history {sign.history}, this one {mine}: start the wrong one with no file"
        if why and why != seen.strange:
            self._told(f"machine {number} is left alone", why)
        seen.strange = why
        if why:
            seen.held = None
        return not why

    def _stand(self) -> None:
        """Rules 4 and 5."""
        holding = self.holding
        if self.number not in self.voters or holding.acceptor.votes_from is not None:
            return
        others = [self.seen[voter] for voter in self.voters if voter != self.number]
        fresh = [seen for seen in others if seen.sent is not None and not seen.strange]
        voting = [seen for seen in fresh if not seen.empty]
        try:
            whole = len(fresh) == len(others)
            new = whole and not voting and all(seen.head == 0 and not seen.history for seen in fresh)
            if holding.head == 0 and not holding.ready and new:
                with self._disk():
                    holding.stand(True, None)
            if holding.ready and (voting or (whole and all(seen.ready for seen in fresh))):
                with self._disk():
                    holding.stand(True, 1)
            elif not holding.ready and len(voting) >= len(self.voters) - self._many + 1:
                with self._disk():
                    holding.stand(False, max(seen.head for seen in voting) + 3)
        except StoreFault:
            return  # told already, and tried again with the next sign

    # Catching up

    def _fetch(self, other: int, now: float) -> None:
        seen = self.seen.get(other)
        busy = sum(seen.fetching > now for seen in self.seen.values())
        if seen is not None and not seen.strange and seen.fetching <= now and busy < FETCHES:
            seen.pages = []
            self._ask(other, seen, Asked(self.holding.head + 1), now)

    def _ask(self, other: int, seen: Seen, asked: Asked, now: float) -> None:
        seen.fetching = now + LONGEST
        self.calls.append(Call(other, asked, now))

    def _log(self, call: Call, seen: Seen, log: LogPage, now: float) -> None:
        mine = self.holding.history
        if not log.history or (mine and log.history != mine):
            return
        if log.whole:
            self._ask(call.to, seen, Asked(0, True), now)
        elif log.changes and not mine and log.changes[0].ident != log.history:
            self._tell_once(f"the log of machine {call.to}", "it does not begin with its history")
        elif self._learn(log.changes) and self.holding.head < log.head:
            self._ask(call.to, seen, Asked(self.holding.head + 1), now)

    def _page(self, call: Call, seen: Seen, page: SnapshotPage, now: float) -> None:
        seen.pages.append(page)
        if page.page != len(seen.pages) - 1 or page.version != seen.pages[0].version:
            seen.pages = []
        elif len(seen.pages) < SNAPSHOT_PAGES:
            self._ask(call.to, seen, Asked(page.version, True, page.page + 1), now)
        else:
            pages, seen.pages = seen.pages, []
            try:
                with self._disk():
                    self.holding.install(pages)
            except Strange as fault:
                self._tell_once(f"the snapshot of machine {call.to} is not taken", str(fault))
            except StoreFault:
                return
            self._caught_up()

    def _learn(self, changes: Sequence[Change]) -> bool:
        """Has the head moved?"""
        before = self.holding.head
        try:
            with self._disk():
                for change in changes:
                    self.holding.learn(change)
        except Strange as fault:
            remedy = "start this machine with no file, or with the same bounds as the others"
            self._tell_once(str(fault), remedy)
        except StoreFault:
            pass
        self._caught_up()
        return self.holding.head > before

    def _tell_once(self, text: str, remedy: str) -> None:
        """Guards against a log that fills: what can't be taken is asked for again with each sign."""
        if text != self._odd:
            self._told(text, remedy)
        self._odd = text

    def _caught_up(self) -> None:
        for seen in self.seen.values():
            if seen.sent is not None and seen.head <= self.holding.head:
                seen.held = seen.sent

    # Proposals

    def _pump(self, now: float) -> None:
        """Goes on with the first proposal as far as that is possible now."""
        while self._waiting:
            proposer = self._waiting[0]
            proposer.step(now)
            if proposer.result is not None:
                self._waiting.popleft()
                continue
            if proposer.decided is not None:
                change, proposer.decided = proposer.decided, None
                told = DecidedChange(change, self.holding.group)
                self.calls += [Call(other, told, now) for other in self.seen]
                if not self._learn([change]):
                    return
                continue
            if not proposer.asks:
                return
            asks, proposer.asks = proposer.asks, []
            for voter, ask in asks:
                if voter != self.number:
                    self.calls.append(Call(voter, ask, now, proposer, proposer.patience))
            # Its own vote last, once the others' are under way.
            for voter, ask in asks:
                if voter == self.number:
                    self._own(proposer, ask, now)

    def _own(self, proposer: Proposer, ask: Prepare | Accept, now: float) -> None:
        try:
            if isinstance(ask, Prepare):
                proposer.promised(self.number, ask, self.asked_prepare(ask, now), now)
            else:
                proposer.voted(self.number, ask, self.asked_accept(ask, now), now)
        except (StoreFault, Unfit):
            proposer.words[self.number] = "fault"

    @contextmanager
    def _disk(self) -> Iterator[None]:
        """Notes whether the store could be used."""
        try:
            yield
        except StoreFault as fault:
            if not self.fault:
                self._told(f"{type(fault).__name__}: {fault}", fault.remedy)
            self.fault = f"{type(fault).__name__}: {fault}"
            raise
        self.fault = ""
