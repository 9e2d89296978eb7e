"""Votes and the desk's side, by relays (voting.py); discovery's side, by relays and by changes a second
(watching.py)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from statistics import mean

from benchmarks.slopes import watching
from benchmarks.slopes.moving import PING
from benchmarks.slopes.series import Series
from benchmarks.slopes.voting import AFTER, TRIAL, Bucket, Release, poll_of
from lanelead.testbed.emulators.vote_counting import Polling

SUBJECT = "votes"
SIZES = (8, 40, 200, 600)


class Found:
    def __init__(self) -> None:
        self.points: dict[str, list[tuple[float, float]]] = {}

    def add(self, name: str, size: float, value: float) -> None:
        self.points.setdefault(name, []).append((float(size), value))


def release(relays: int, word: str, found: Found) -> None:
    poll, kind = poll_of(relays, word != "first"), Bucket if word == "bucket" else Polling
    town = Release(relays, poll, kind=kind)
    done = town.play()
    casts, words = town.casts, town.words()
    stages = Counter(cast.stage for cast in casts)
    sent = sum(cast.size for cast in casts)
    found.add(f"{word}.calls", relays, len(casts))
    found.add(f"{word}.calls.stage", relays, mean(stages.get(stage, 0) for stage in range(len(TRIAL.shares))))
    found.add(f"{word}.calls.worst", relays, town.worst())
    found.add(f"{word}.calls.refused", relays, words["overloaded"])
    found.add(f"{word}.calls.moot", relays, words["moot"])
    found.add(f"{word}.votes.bytes", relays, sent)
    found.add(f"{word}.news.bytes", relays, town.news)
    found.add(f"{word}.relay.bytes", relays, (sent + town.news) / relays)
    if done:
        found.add(f"{word}.seconds", relays, town.changes[-1])
    found.add(f"{word}.look.cpu", relays, town.look_s / town.looks * 1e6)
    found.add(f"{word}.look.share", relays, town.look_s / relays / (town.seconds + AFTER))
    found.add(f"{word}.released", relays, float(done))
    print(f"votes {word}, {relays} relays: {dict(words)}, {town.seconds:.1f} s, released {done}", flush=True)


def discovery(sizes: Sequence[int], small: bool, found: Found) -> None:
    asked_bytes = 0
    for changed in (0, 1, 10) if small else (0, 1, 10, 100, 780):
        spent, text = watching.watch_us(changed, 50 if small else 200)
        asked_bytes = len(text)
        word = "watch" if changed else "watch.quiet"
        found.add(f"{word}.cpu", max(1, changed), spent)
        found.add(f"{word}.bytes", max(1, changed), asked_bytes + len(watching.answer(changed)))
    span = 600.0 if small else 3600.0
    part = span / 86_400
    day = watching.drawn(round(49 * part), 2, span, 1.0) + watching.drawn(round(2700 * part), 3, span, 2.0, 38)
    wave = [place * 600 / 7800 for place in range(7800)]
    quick = [place * 60 / 7800 for place in range(7800)]
    cases = {"quiet": (span, []), "day": (span, sorted(day)), "release": (600.0, wave), "rush": (60.0, quick)}
    for relays in sizes:
        for word, (seconds, changes) in cases.items():
            seen = watching.play(relays, seconds, changes, asked_bytes)
            found.add(f"{word}.watches", relays, seen.watches / seconds)
            found.add(f"{word}.bytes", relays, seen.bytes / seconds)
            found.add(f"{word}.watches.worst", relays, seen.worst_watches)
            found.add(f"{word}.bytes.worst", relays, seen.worst_bytes)
    for rate in (0.1, 0.5, 1, 2, 5, 13, 130):
        changes = [place / rate for place in range(int(600 * rate))]
        seen = watching.play(20, 600.0, changes, asked_bytes)
        found.add("relay.bytes", rate, seen.bytes / 600 / 20)
        found.add("relay.watches", rate, seen.watches / 600 / 20)


HOLLOW = (
    "hollow: driver and decisions as in `run`, virtual time, 26 units and as many new ones, 8 requests a "
    "second and relay, a good build, 3 stages; the desk is our stand-in, 200 calls a second at the most"
)
MODEL = "modelled in virtual time; HTTP's bytes only; an answer's head as our stand-in writes it"
CONTROLS = {
    "first": "the first voice decides, as the site sets it",
    "count": "half of all relays and one must agree; the stand-in counts calls that it refuses, too",
    "bucket": "half of all relays and one must agree; the desk counts only the calls that it takes",
}
PARTS = {
    "calls": ("count", "votes that the desk gets, a release"),
    "calls.stage": ("count", "votes that the desk gets, a stage in the mean"),
    "calls.worst": ("count/s", "votes that the desk gets in the worst second"),
    "calls.refused": ("count", "of all votes, those turned away as too many"),
    "calls.moot": ("count", "of all votes, those that came too late to count"),
    "votes.bytes": ("B", "of all votes and their answers, a release"),
    "news.bytes": ("B", "that the desk tells unasked, a release: each change to each relay"),
    "relay.bytes": ("B", "of both, at one relay"),
    "seconds": ("s", "virtual, from the release's first word to its last, where it was released"),
    "look.cpu": ("us", "processor time of one look at the build on trial, with the vote, a beat"),
    "look.share": ("share", "of a core, of all looks at one relay, during the release"),
    "released": ("count", "1 where the good build was released within 40 s"),
}
CASES = {
    "quiet": "nothing changes for an hour",
    "day": "an hour of a day: 49 machines fail (2 changes each), 2,700 restart (3 changes each)",
    "release": "7,800 changes, evenly over 600 s",
    "rush": "7,800 changes, evenly over 60 s",
}
SIDES = {
    "watches": ("count/s", "watches at discovery, of all relays"),
    "bytes": ("B/s", "asked and answered at discovery, of all relays"),
    "watches.worst": ("count/s", "watches that begin in the worst second, of all relays"),
    "bytes.worst": ("B/s", "asked and answered in the worst second, of all relays"),
}
REST = {
    "watch.cpu": (
        "us",
        "changes",
        "real, over loopback: one watch at a relay, called, read, decoded; the decisions do not take it in",
    ),
    "watch.bytes": ("B", "changes", f"one watch, asked and answered; {MODEL}"),
    "watch.quiet.cpu": ("us", "watches", "real, over loopback: as watch.cpu, where nothing changed"),
    "watch.quiet.bytes": ("B", "watches", f"one watch on which nothing changed; {MODEL}"),
    "relay.bytes": ("B/s", "changes a second", f"watches at one relay, evenly spread changes; {MODEL}"),
    "relay.watches": ("count/s", "changes a second", f"watches at one relay, evenly spread changes; {MODEL}"),
    "signs.bytes": (
        "B/s",
        "relays",
        "signs of life that the desk tells all relays, one a second to each; counted by their text",
    ),
}


def measure(small: bool) -> list[Series]:
    found = Found()
    sizes = SIZES[:2] if small else SIZES
    for relays in sizes:
        for control in CONTROLS:
            release(relays, control, found)
        found.add("signs.bytes", relays, relays * len(PING))
    discovery(sizes, small, found)
    notes = dict(REST)
    for control, said in CONTROLS.items():
        for part, (unit, note) in PARTS.items():
            notes[f"{control}.{part}"] = unit, "relays", f"{note}; {said}; {HOLLOW}; one seed"
    for case, said in CASES.items():
        for part, (unit, note) in SIDES.items():
            notes[f"{case}.{part}"] = unit, "relays", f"{note}; {said}; {MODEL}; one seed"
    return [
        Series(SUBJECT, name, unit, by, found.points[name], note)
        for name, (unit, by, note) in notes.items()
        if name in found.points
    ]
