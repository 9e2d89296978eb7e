"""The five rules, judged from the capture alone: what passed at the stand-ins' ends of the sockets.

 answers   every lookup that a living relay took: one final answer, in time, and nothing after it
 effects   no effect twice; a shed, or another trip, only where no earlier trip may have run
 drains    no trip to a unit later than the grace after the relay was told that it drains or is gone
 cold      no unit that has just started sent more than the multiple of what it can do
 exposure  a relay's trips at a build on trial within the free number and the cap of what it took

Times are read at two ends of a socket, so each rule is judged with an allowance, `NEAR`, on the lenient side.
A rule with nothing at stake is unproven, not kept. Where the day has relays prefer their zones, two more
are judged:

 spill     a relay's trips outside its own zone within the stated part of what those units would do for it
 returns   no returning unit sent more than its fresh-start load: what it can do as warm as it is

Where it has a store of steps, one more:

 steps     no lookup filed against a schema that its build does not fit, no trip to a build that must wait,
           no effect but of the intent under way and once, and a record that is clear at the end
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from lanelead.migrations.errors import InvalidEntryError
from lanelead.migrations.migration_log import MigrationLog, StepStatus
from lanelead.protocols.migrations import LoggedEntry
from lanelead.settings import records
from lanelead.testbed.emulators.event_recording import BadCapture, read

NEAR = 0.2  # seconds that may lie between the two ends of a socket
CASES = 20  # cases told of each rule
RULES = ("answers", "effects", "drains", "cold", "exposure")
ZONES = ("spill", "returns")
Fact = dict[str, Any]


class Finding(msgspec.Struct):
    seen: int = 0
    broken: int = 0
    cases: list[str] = []

    @property
    def word(self) -> str:
        return "broken" if self.broken else "kept" if self.seen else "unproven"

    def breach(self, text: str) -> None:
        self.broken += 1
        if len(self.cases) < CASES:
            self.cases.append(text)


class Offered(msgspec.Struct):
    build: int
    bad: str | None
    sent_back: float | None = None  # seconds after it was offered
    released: float | None = None


class Verdict(msgspec.Struct):
    day: str
    rules: dict[str, Finding]
    lookups: int = 0
    done: int = 0
    shed: int = 0
    broken_off: int = 0
    lost: int = 0
    excused: int = 0  # asked of a relay that was killed, or was ending, before it could answer
    left: int = 0  # their clients left first
    service: float = 0.0
    builds: list[Offered] = []

    @property
    def kept(self) -> bool:
        return not any(finding.broken for finding in self.rules.values())


@dataclass(slots=True)
class Spans:
    """Times at which something was so."""

    rows: list[tuple[float, float]] = field(default_factory=list)

    def add(self, start: float, end: float) -> None:
        self.rows.append((start, end))

    def meets(self, start: float, end: float) -> bool:
        return any(begin <= end and start <= finish for begin, finish in self.rows)


class Capture:
    """The facts by kind, in the order of time."""

    def __init__(self, folder: Path) -> None:
        try:
            self.day = msgspec.json.decode((folder / "day.json").read_bytes(), type=records.Day)
        except (OSError, msgspec.MsgspecError) as fault:
            raise BadCapture(f"day.json: {fault}") from None
        self.by: dict[str, list[Fact]] = defaultdict(list)
        for file, fact in read(folder):
            fact["file"] = file
            # The roster and the desk both say 'told'; which of them it was stands in the file's name.
            name = f"{file}-told" if fact["ev"] == "told" else str(fact["ev"])
            self.by[name].append(fact)
        for facts in self.by.values():
            facts.sort(key=lambda fact: fact["t"])
        self.lanes = {request_class.name: request_class for request_class in self.day.service.lanes}
        self.stopped = self._stops("stop", "cont", "name")
        self.lives = self._lives()

    def __getitem__(self, name: str) -> list[Fact]:
        return self.by.get(name, [])

    def still(self, fact: Fact) -> bool:
        """Did the unit that noted this stand still just then? When its peer wrote what it read is not
        known."""
        return self.stopped[fact["file"].removeprefix("unit-")].meets(fact["t"], fact["t"])

    def _stops(self, start: str, end: str, key: str) -> dict[Any, Spans]:
        spans: dict[Any, Spans] = defaultdict(Spans)
        for fact in self[start]:
            later = [other["t"] for other in self[end] if other[key] == fact[key] and other["t"] > fact["t"]]
            spans[fact[key]].add(fact["t"], min(later, default=float("inf")) + 1.0)
        return spans

    def _lives(self) -> dict[int, list[tuple[float, float, str]]]:
        """Of each relay: from when to when it lived, and how that ended."""
        lives: dict[int, list[tuple[float, float, str]]] = defaultdict(list)
        ends = [(f["t"], f["relay"], "kill") for f in self["relay_kill"]]
        ends += [(f["t"], f["relay"], "term") for f in self["relay_term"]]
        for fact in self["relay_start"]:
            later = sorted((t, how) for t, relay, how in ends if relay == fact["relay"] and t > fact["t"])
            end, how = later[0] if later else (float("inf"), "alive")
            # Its sockets open a little before it is noted as started; an earlier life keeps what it sent.
            before = max((life[1] for life in lives[fact["relay"]]), default=float("-inf")) + NEAR
            lives[fact["relay"]].append((max(fact["t"] - 2, before), end, how))
        return lives

    def life(self, relay: int, t: float) -> tuple[float, float, str] | None:
        """The life in which a relay was at a time."""
        return next((life for life in self.lives[relay] if life[0] <= t <= life[1]), None)


def judge(folder: Path) -> Verdict:
    """Raises BadCapture where the folder holds no whole capture."""
    capture = Capture(folder)
    verdict = Verdict(capture.day.name, {rule: Finding() for rule in RULES})
    _answers(capture, verdict)
    _effects(capture, verdict.rules["effects"])
    _drains(capture, verdict.rules["drains"])
    _cold(capture, verdict.rules["cold"])
    _exposure(capture, verdict.rules["exposure"])
    if capture.day.spill is not None:
        verdict.rules |= {name: Finding() for name in ZONES}
        _spill(capture, capture.day.spill, verdict.rules["spill"])
        _returns(capture, verdict.rules["returns"])
    if capture.day.steps is not None:
        verdict.rules["steps"] = Finding()
        _steps(capture, verdict.rules["steps"])
    verdict.builds = _builds(capture)
    return verdict


def _answers(capture: Capture, verdict: Verdict) -> None:
    finding, slack = verdict.rules["answers"], capture.day.slack_ms / 1000
    answers: dict[str, list[Fact]] = defaultdict(list)
    for fact in capture["answer"]:
        answers[fact["id"]].append(fact)
    gone = {fact["id"]: fact for fact in capture["gone"]}
    first, value = dict[str, Fact](), dict[str, float]()
    for ask in capture["ask"]:
        verdict.lookups += 1
        first.setdefault(ask["op"], ask)
        mine = answers.get(ask["id"], [])
        due = ask["t"] + ask["left"]
        request_class = capture.lanes[ask["lane"]]
        for fact in mine:
            if fact["outcome"] == "done":
                verdict.done += 1
                took = fact["t"] - first[ask["op"]]["t"]
                share = 1.0 if took <= request_class.expected_time_ms / 1000 else request_class.late_value
                priority_weight = 0.0 if fact.get("wrong") else request_class.value * share
                value[ask["op"]] = max(priority_weight, value.get(ask["op"], 0.0))
            elif fact["outcome"] == "shed":
                verdict.shed += 1
            elif fact["outcome"] == "broken-off":
                verdict.broken_off += 1
        until = max([fact["t"] for fact in mine] + [gone[ask["id"]]["t"] if ask["id"] in gone else due])
        life = capture.life(ask["relay"], ask["t"])
        if not mine and gone.get(ask["id"], {}).get("why") == "left":
            verdict.left += 1  # the client went first: no answer is owed
            continue
        if not mine and (life is None or life[1] <= until + NEAR):
            verdict.excused += 1  # its relay was killed, or had been told to end
            continue
        finding.seen += 1
        if not mine:
            verdict.lost += 1
            why = gone[ask["id"]]["why"] if ask["id"] in gone else "no word at all"
            finding.breach(f"{ask['id']} at relay {ask['relay']}: no final answer ({why})")
            continue
        if len(mine) > 1:
            finding.breach(f"{ask['id']} at relay {ask['relay']}: {len(mine)} final answers")
        if mine[0]["t"] > due + slack:
            finding.breach(f"{ask['id']} at relay {ask['relay']}: answered {mine[0]['t'] - due:.3f} s too late")
        if mine[0]["outcome"] not in ("done", "shed", "broken-off"):
            finding.breach(f"{ask['id']} at relay {ask['relay']}: answered as {mine[0]['outcome']!r}")
        if "echo" in mine[0]:
            finding.breach(f"{ask['id']} at relay {ask['relay']}: got the answer to {mine[0]['echo']}")
    for fact in capture["extra"]:
        finding.breach(f"{fact['id']} at relay {fact['relay']}: {fact['bytes']} bytes after its final answer")
    asked = sum(capture.lanes[ask["lane"]].value for ask in first.values())
    verdict.service = round(sum(value.values()) / asked, 4) if asked else 0.0


def _effects(capture: Capture, finding: Finding) -> None:
    asks = {ask["id"]: ask for ask in capture["ask"]}
    turned = {(fact["file"], fact["id"]) for name in ("turned_away", "expired") for fact in capture[name]}
    cells = {fact["file"]: (fact["zone"], fact["cell"]) for fact in capture["up"]}
    attempts: dict[str, list[Fact]] = defaultdict(list)
    for attempt in capture["trip"]:
        attempts[attempt["id"]].append(attempt)
    done: dict[str, list[Fact]] = defaultdict(list)
    for effect in capture["effect"]:
        done[effect["op"]].append(effect)
    shed = {fact["id"] for fact in capture["answer"] if fact["outcome"] == "shed"}
    receipted = {request_class.name for request_class in capture.lanes.values() if request_class.repeat == "receipted"}
    lane_of = {ask["op"]: ask["lane"] for ask in capture["ask"]}
    ops = set[str]()
    for ident, rows in sorted(attempts.items()):
        ask = asks.get(ident)
        request_class = capture.lanes.get(ask["lane"] if ask else rows[0]["lane"])
        if ask is None or request_class is None or request_class.repeat == "pure":
            continue
        finding.seen += 1
        ops.add(ask["op"])
        # A unit that turned one trip of a lookup away turned all that it counts here away: it logs by lookup.
        ran = [attempt for attempt in rows if (attempt["file"], ident) not in turned]
        whole = request_class.repeat == "receipted" and request_class.scope == "all"
        if ident in shed and ran and not whole:
            finding.breach(f"{ident}: shed, though a trip to {ran[0]['file']} may have run")
        if not ran:
            continue
        later = [attempt for attempt in rows if attempt["t"] > ran[0]["t"]]
        if request_class.repeat == "effectful" and later:
            finding.breach(f"{ident}: sent to {later[0]['file']} after a trip that may have run")
        if request_class.repeat == "receipted":
            zone, cell = cells[ran[0]["file"]]
            for attempt in later:
                if capture.still(attempt) or capture.still(ran[0]):
                    continue  # when it was sent is not known
                at = cells[attempt["file"]]
                inside = {"all": True, "zone": at[0] == zone, "cell": at[1] == cell}[request_class.scope]
                if not inside or attempt["t"] > ran[0]["t"] + request_class.memory_ms / 1000 + NEAR:
                    why = "outside the group" if not inside else "after the receipt was forgotten"
                    finding.breach(f"{ident}: repeated at {attempt['file']}, {why}")
    for op in sorted(ops):
        facts = done[op]
        if lane_of[op] in receipted:
            # What a unit does after it stood still may lie beyond the memory of its group, whoever sent it
            # when.
            facts = [fact for fact in facts if not capture.still(fact)]
        if len(facts) > 1:
            where = ", ".join(fact["file"] for fact in facts)
            finding.breach(f"{op}: its effect happened {len(facts)} times ({where})")


def _drains(capture: Capture, finding: Finding) -> None:
    grace = capture.day.service.duties.drain_grace_ms / 1000
    closed: dict[tuple[int, str], list[tuple[float, bool]]] = defaultdict(list)
    listed: dict[int, dict[str, bool]] = defaultdict(dict)
    for fact in capture["roster-told"]:
        relay, known = fact["relay"], listed[fact["relay"]]
        rows = {row["unit"]: row["condition"] == "ready" for row in fact["units"]}
        if fact["coverage"] == "full":
            rows |= {unit: False for unit in known if unit not in rows}
        for unit, ready in rows.items():
            if known.get(unit) is not ready:
                closed[relay, unit].append((fact["t"], ready))
                finding.seen += not ready and unit in known
            known[unit] = ready
    for attempt in capture["trip"]:
        unit, t = attempt["file"].removeprefix("unit-"), attempt["t"]
        if capture.still(attempt):
            continue
        told = [row for row in closed[attempt["relay"], unit] if row[0] <= t]
        if told and not told[-1][1] and t > told[-1][0] + grace + NEAR:
            late = t - told[-1][0]
            finding.breach(f"relay {attempt['relay']}: {attempt['id']} to {unit}, {late:.3f} s after it was told")


def _cold_sends(capture: Capture, span: float, finding: Finding) -> Iterator[tuple[Fact, Fact, float, float]]:
    """Each trip to a unit in its cold start: the start, the trip, the work sent in the span up to then, and
    what the unit could do in such a span as warm as it was."""
    attempts: dict[str, list[Fact]] = defaultdict(list)
    for attempt in capture["trip"]:
        attempts[attempt["file"]].append(attempt)
    for up in capture["up"]:
        if not up["cold"]:
            continue
        rows = [attempt for attempt in attempts[up["file"]] if up["t"] <= attempt["t"] <= up["t"] + up["cold"]]
        finding.seen += bool(rows)
        start, total = 0, 0.0
        for attempt in rows:
            total += attempt["work"]
            while rows[start]["t"] < attempt["t"] - span:
                total -= rows[start]["work"]
                start += 1
            warmth = up["cold_share"] + (1 - up["cold_share"]) * (attempt["t"] - up["t"]) / up["cold"]
            yield up, attempt, total, up["cores"] * min(1.0, up["speed"]) * warmth * span


def _overdone(capture: Capture, span: float, multiple: float, rng: int, finding: Finding) -> None:
    """No cold unit sent more than a multiple of what it can do, and some lookups of the longest lane's mean,
    for chance alone brings a few long ones together. One case a start."""
    mean, told = max(work.ms for work in capture.day.clients.work) / 1000, dict[tuple[str, float], None]()
    for up, attempt, total, can in _cold_sends(capture, span, finding):
        if total > multiple * can + rng * mean and (up["unit"], up["t"]) not in told:
            told[up["unit"], up["t"]] = None
            age = attempt["t"] - up["t"]
            finding.breach(
                f"{up['unit']}: sent {total:.2f} s of work in {span:g} s at {age:.2f} s of age, "
                f"when it could do {can:.2f}"
            )


def _cold(capture: Capture, finding: Finding) -> None:
    limits = capture.day.service.duties
    _overdone(capture, limits.fall_ms / 1000, limits.fall_multiple, 8, finding)
    for fact in capture["fell"]:
        finding.breach(f"{fact['file'].removeprefix('unit-')}: fell over, sent {fact['work']:.2f} s of work")


def _spill(capture: Capture, overflow: records.Overflow, finding: Finding) -> None:
    """In every 3 s: the part `most` of what the others' units would do for the relay, were they its own,
    and a few trips held. What is usual is read leniently: the relay's busiest 10 s so far."""
    units, span, usual = capture.day.units, 3.0, 10.0
    zone_of = {up["unit"]: up["zone"] for up in capture["up"]}
    sizes = {zone: len(range(place, units.count, len(units.zones))) for place, zone in enumerate(units.zones)}
    asked: dict[int, list[float]] = defaultdict(list)
    for ask in capture["ask"]:
        asked[ask["relay"]].append(ask["t"])
    strangers: dict[int, list[float]] = defaultdict(list)
    busiest: dict[int, float] = defaultdict(float)
    for attempt in capture["trip"]:
        relay, t = attempt["relay"], attempt["t"]
        home = units.zones[relay % len(units.zones)]
        if zone_of[attempt["file"].removeprefix("unit-")] == home or capture.still(attempt):
            continue
        finding.seen += 1
        strangers[relay].append(t)
        many = len(strangers[relay]) - bisect_left(strangers[relay], t - span + NEAR)
        lately = bisect_right(asked[relay], t) - bisect_left(asked[relay], t - usual)
        busiest[relay] = max(busiest[relay], lately / usual)
        others = sum(size for zone, size in sizes.items() if zone != home)
        limit = overflow.most * busiest[relay] * others / max(1, sizes[home])
        # A relay paces itself by steps with random parts, and holds what it may send for half an expected
        # time.
        allowed = 1.5 * limit * span + 5
        if many > allowed:
            finding.breach(f"relay {relay}: trip {many} outside {home} in {span:g} s, of {allowed:.1f} allowed")


def _returns(capture: Capture, finding: Finding) -> None:
    _overdone(capture, 2.0, 1.0, 4, finding)


def _steps(capture: Capture, finding: Finding) -> None:
    record, had = MigrationLog(), set[tuple[int, int]]()
    shut: dict[int, float | None] = {}  # since when a build has no traffic, by the record
    spans: dict[int, Spans] = defaultdict(Spans)
    facts = sorted((*capture["entry"], *capture["effect_asked"]), key=lambda fact: fact["t"])
    for fact in facts:
        if fact["ev"] == "effect_asked":
            _effect_of_step(fact, record, had, finding)
            continue
        logged = msgspec.convert({key: fact[key] for key in LoggedEntry.__struct_fields__}, LoggedEntry)
        try:
            record.append(logged)
        except InvalidEntryError as fault:
            finding.breach(f"entry {logged.seq}: {fault}")
            return
        finding.seen += 1
        for build in record.builds():
            if record.is_ready(build) and (since := shut.get(build)) is not None:
                spans[build].add(since, fact["t"])
                shut[build] = None
            elif not record.is_ready(build) and shut.get(build) is None:
                shut[build] = fact["t"]
    for build, since in shut.items():
        if since is not None:
            spans[build].add(since, float("inf"))
    for filed in capture["filed"]:
        finding.seen += 1
        if filed["why"]:
            finding.breach(f"{filed['op']} filed by build {filed['build']}: {filed['why']}")
    for attempt in capture["trip"]:
        within = (start for start, end in spans[attempt["build"]].rows if start + NEAR < attempt["t"] < end)
        if (start := next(within, None)) is not None and not capture.still(attempt):
            late = attempt["t"] - start
            finding.breach(f"{attempt['id']} sent to build {attempt['build']}, {late:.1f} s after it had to wait")
    if (mark := record.active_step()) is not None:
        finding.breach(f"{mark.step.name!r} is {mark.status.value} at the end")


def _effect_of_step(fact: Fact, record: MigrationLog, had: set[tuple[int, int]], finding: Finding) -> None:
    if fact["status"] != 200:
        return
    finding.seen += 1
    mark, at = record.active_step(), (fact["intent"], fact["part"])
    if mark is None or mark.status is not StepStatus.IN_PROGRESS or mark.intent_seq != fact["intent"]:
        finding.breach(f"part {fact['part']} of intent {fact['intent']} had, which is not under way")
    if fact["said"]["parts"] != len({part for intent, part in had | {at} if intent == at[0]}):
        finding.breach(f"intent {fact['intent']}: {fact['said']['parts']} parts had, of which some unasked")
    had.add(at)


@dataclass(slots=True)
class Told:
    t: float
    build: int
    stage: int
    phase: str
    cap: float

    def trial(self, build: int) -> bool:
        return build > self.build or (build == self.build and self.phase != "released")


class News:
    """What one relay was told of builds, in one life."""

    def __init__(self, rows: list[Told], caps: list[float]) -> None:
        self.rows, self._caps = rows, caps
        self._times = [row.t for row in rows]

    def at(self, t: float) -> Told | None:
        place = bisect_right(self._times, t)
        return self.rows[place - 1] if place else None

    def cap(self, told: Told | None, build: int) -> float:
        if told is None or build > told.build:
            return self._caps[0]
        return told.cap if told.phase == "trial" else 0.0

    def most(self, build: int, start: float, end: float) -> float:
        """The highest cap in force between two times."""
        rows = [self.at(start), *(row for row in self.rows if start < row.t <= end)]
        return max(self.cap(row, build) for row in rows)

    def lowered(self, build: int, end: float) -> float:
        """When the build's cap was last told lower than before, up to a time."""
        last, at = None, float("-inf")
        for row in self.rows:
            if row.t > end:
                break
            cap = self.cap(row, build)
            if last is not None and cap < last:
                at = row.t
            last = cap
        return at


def _exposure(capture: Capture, finding: Finding) -> None:
    trial, grace = capture.day.service.trial, capture.day.service.duties.drain_grace_ms / 1000
    window = trial.window_ms / 1000
    asks = {ask["id"]: ask for ask in capture["ask"]}
    by_relay: dict[int, list[Fact]] = defaultdict(list)
    for attempt in capture["trip"]:
        by_relay[attempt["relay"]].append(attempt)
    for relay, lives in sorted(capture.lives.items()):
        for begin, end, _ in lives:
            rows = [
                Told(fact["t"], fact["build"], fact["stage"], fact["phase"], fact["cap"])
                for fact in capture["desk-told"]
                if fact["relay"] == relay and begin - 3 <= fact["t"] <= end and fact.get("word", "done") == "done"
            ]
            news = News(rows, trial.caps)
            taken: dict[str | None, list[float]] = defaultdict(list)
            for ask in capture["ask"]:
                if ask["relay"] == relay and begin <= ask["t"] <= end:
                    taken[None].append(ask["t"])
                    taken[ask["lane"]].append(ask["t"])
            _life(
                capture,
                finding,
                news,
                taken,
                asks,
                [attempt for attempt in by_relay[relay] if begin <= attempt["t"] <= end],
                relay,
                (window, grace),
            )


def _life(
    capture: Capture,
    finding: Finding,
    news: News,
    taken: dict[str | None, list[float]],
    asks: dict[str, Fact],
    attempts: list[Fact],
    relay: int,
    spans: tuple[float, float],
) -> None:
    trial, (window, grace) = capture.day.service.trial, spans
    sent: dict[tuple[int, str | None], list[float]] = defaultdict(list)
    for attempt in attempts:
        t, build = attempt["t"], attempt["build"]
        told = news.at(t)
        both = told is None or told.trial(build), (before := news.at(t - NEAR)) is None or before.trial(build)
        if not all(both) or capture.still(attempt):
            continue
        finding.seen += 1
        request_class = attempt["lane"] if trial.by_lane else None
        times = sent[build, request_class]
        times.append(t)
        lowered = news.lowered(build, t) + grace
        start = max(t - window + NEAR, lowered + NEAR if lowered < t else float("-inf"))
        many = len(times) - bisect_left(times, start)
        # A lower cap binds when its grace is over; up to then the higher one did.
        cap = news.most(build, lowered + 1e-6 if lowered < t else t - window - grace, t)
        earned = taken[request_class]
        have = bisect_right(earned, t) - bisect_left(earned, start - 2 * NEAR)
        at = f"relay {relay}: {attempt['id']} to build {build}"
        if cap == 0 and t > lowered + NEAR and told is not None:
            finding.breach(f"{at}, which is closed")
        elif many > trial.free + cap * have + 1e-9:
            finding.breach(f"{at} is trip {many} in {window:g} s, of {trial.free + cap * have:.2f} allowed")
        stage = told.stage if told and told.build == build else 0
        guarded = stage < trial.guarded and (before is None or before.build != build or before.stage < trial.guarded)
        if guarded and capture.lanes[attempt["lane"]].repeat != "pure":
            finding.breach(f"{at}, in a stage that is guarded from lane {attempt['lane']}")
    if trial.keys_stay:
        _keys(capture, finding, news, asks, attempts, relay)


def _keys(
    capture: Capture, finding: Finding, news: News, asks: dict[str, Fact], attempts: list[Fact], relay: int
) -> None:
    answered: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for fact in capture["answer"]:
        ask = asks.get(fact["id"])
        if ask and ask["key"] and ask["relay"] == relay and fact["outcome"] == "done" and fact["build"]:
            answered[ask["key"]].append((fact["t"], int(fact["build"])))
    for attempt in attempts:
        ask, told = asks.get(attempt["id"]), news.at(attempt["t"])
        if ask is None or not ask["key"] or told is None or told.phase not in ("trial", "released"):
            continue
        before = news.at(attempt["t"] - NEAR)
        ties = [build for t, build in answered[ask["key"]] if t < attempt["t"] - NEAR and build == told.build]
        steady = before is not None and (before.build, before.phase) == (told.build, told.phase)
        if ties and steady and attempt["build"] < ties[-1] and not _recalled(news, told.build, attempt["t"]):
            finding.breach(f"relay {relay}: {attempt['id']} to build {attempt['build']}, its key stays with {ties[-1]}")


def _recalled(news: News, build: int, t: float) -> bool:
    return any(row.build == build and row.phase in ("reverting", "withdrawn") and row.t <= t for row in news.rows)


def _builds(capture: Capture) -> list[Offered]:
    offered = []
    for fact in capture["offer"]:
        row = Offered(fact["build"], fact["bad"])
        for state in capture["state"]:
            if state["build"] == row.build and state["phase"] == "released" and row.released is None:
                row.released = round(state["t"] - fact["t"], 2)
        for back in capture["sent_back"]:
            if back["build"] == row.build and row.sent_back is None:
                row.sent_back = round(back["t"] - fact["t"], 2)
        offered.append(row)
    return offered


def report(verdict: Verdict) -> str:
    """The verdict for people."""
    lines = [f"day {verdict.day}"]
    for rule, finding in verdict.rules.items():
        lines.append(f"  {rule:9} {finding.word:8}  at stake {finding.seen}, broken {finding.broken}")
        lines += [f"            {case}" for case in finding.cases[:5]]
    lines.append(
        f"  {verdict.lookups} lookups: {verdict.done} done, {verdict.shed} shed, "
        f"{verdict.broken_off} broken off, {verdict.lost} lost, {verdict.left} left, "
        f"{verdict.excused} excused; service {verdict.service:.3f}"
    )
    for row in verdict.builds:
        kind = f"bad ({row.bad})" if row.bad else "good"
        ends = [f"released after {row.released:.1f} s"] if row.released is not None else []
        ends += [f"sent back after {row.sent_back:.1f} s"] if row.sent_back is not None else []
        lines.append(f"  build {row.build}, {kind}: {', '.join(ends) or 'still on trial at the end'}")
    return "\n".join(lines)
