"""Measures votes and the platform's side by relays (voting.py), and discovery by relays and changes (watching.py)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from statistics import mean

from benchmarks.slopes import watching
from benchmarks.slopes.moving import PING
from benchmarks.slopes.series import Series
from benchmarks.slopes.voting import CANARY_SETTINGS, TAIL_SECONDS, AcceptedCallsPolling, Release, voting_settings
from lanelead.testbed.emulators.vote_counting import VoteCounting

SUBJECT = "votes"
SIZES = (8, 40, 200, 600)


class Results:
    """Points of each series, by size."""

    def __init__(self) -> None:
        self.points: dict[str, list[tuple[float, float]]] = {}

    def add(self, name: str, size: float, value: float) -> None:
        """Adds a point."""
        self.points.setdefault(name, []).append((float(size), value))


def measure_release(relays: int, word: str, results: Results) -> None:
    """Measures the release of a good build with one way of promotion."""
    poll, kind = voting_settings(relays, word != "first"), AcceptedCallsPolling if word == "bucket" else VoteCounting
    release = Release(relays, poll, kind=kind)
    released = release.play()
    casts, outcome_counts = release.casts, release.outcome_counts()
    stages = Counter(cast.stage for cast in casts)
    sent = sum(cast.size for cast in casts)
    results.add(f"{word}.calls", relays, len(casts))
    results.add(
        f"{word}.calls.stage", relays, mean(stages.get(stage, 0) for stage in range(len(CANARY_SETTINGS.shares)))
    )
    results.add(f"{word}.calls.worst", relays, release.peak_calls())
    results.add(f"{word}.calls.refused", relays, outcome_counts["overloaded"])
    results.add(f"{word}.calls.moot", relays, outcome_counts["moot"])
    results.add(f"{word}.votes.bytes", relays, sent)
    results.add(f"{word}.news.bytes", relays, release.news)
    results.add(f"{word}.relay.bytes", relays, (sent + release.news) / relays)
    if released:
        results.add(f"{word}.seconds", relays, release.changes[-1])
    results.add(f"{word}.look.cpu", relays, release.evaluation_s / release.evaluations * 1e6)
    results.add(f"{word}.look.share", relays, release.evaluation_s / relays / (release.seconds + TAIL_SECONDS))
    results.add(f"{word}.released", relays, float(released))
    print(
        f"votes {word}, {relays} relays: {dict(outcome_counts)}, {release.seconds:.1f} s, released {released}",
        flush=True,
    )


def measure_discovery(sizes: Sequence[int], small: bool, results: Results) -> None:
    """Measures watches with several patterns of change."""
    asked_bytes = 0
    for changed in (0, 1, 10) if small else (0, 1, 10, 100, 780):
        spent, text = watching.watch_us(changed, 50 if small else 200)
        asked_bytes = len(text)
        word = "watch" if changed else "watch.quiet"
        results.add(f"{word}.cpu", max(1, changed), spent)
        results.add(f"{word}.bytes", max(1, changed), asked_bytes + len(watching.watch_response(changed)))
    span = 600.0 if small else 3600.0
    part = span / 86_400
    day = watching.random_changes(round(49 * part), 2, span, 1.0) + watching.random_changes(
        round(2700 * part), 3, span, 2.0, 38
    )
    wave = [place * 600 / 7800 for place in range(7800)]
    quick = [place * 60 / 7800 for place in range(7800)]
    cases = {"quiet": (span, []), "day": (span, sorted(day)), "release": (600.0, wave), "rush": (60.0, quick)}
    for relays in sizes:
        for word, (seconds, changes) in cases.items():
            seen = watching.play(relays, seconds, changes, asked_bytes)
            results.add(f"{word}.watches", relays, seen.watches / seconds)
            results.add(f"{word}.bytes", relays, seen.bytes / seconds)
            results.add(f"{word}.watches.worst", relays, seen.worst_watches)
            results.add(f"{word}.bytes.worst", relays, seen.worst_bytes)
    for rate in (0.1, 0.5, 1, 2, 5, 13, 130):
        changes = [place / rate for place in range(int(600 * rate))]
        seen = watching.play(20, 600.0, changes, asked_bytes)
        results.add("relay.bytes", rate, seen.bytes / 600 / 20)
        results.add("relay.watches", rate, seen.watches / 600 / 20)


SIMULATION_NOTE = (
    "hollow: driver and decisions as in `run`, virtual time, 26 units and as many new ones, 8 requests a "
    "second and relay, a good build, 3 stages; the desk is our stand-in, 200 calls a second at the most"
)
MODEL_NOTE = "modelled in virtual time; HTTP's bytes only; an answer's head as our stand-in writes it"
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
    "watch.bytes": ("B", "changes", f"one watch, asked and answered; {MODEL_NOTE}"),
    "watch.quiet.cpu": ("us", "watches", "real, over loopback: as watch.cpu, where nothing changed"),
    "watch.quiet.bytes": ("B", "watches", f"one watch on which nothing changed; {MODEL_NOTE}"),
    "relay.bytes": ("B/s", "changes a second", f"watches at one relay, evenly spread changes; {MODEL_NOTE}"),
    "relay.watches": ("count/s", "changes a second", f"watches at one relay, evenly spread changes; {MODEL_NOTE}"),
    "signs.bytes": (
        "B/s",
        "relays",
        "signs of life that the desk tells all relays, one a second to each; counted by their text",
    ),
}


def measure(small: bool) -> list[Series]:
    """Makes all measurements and returns the series."""
    results = Results()
    sizes = SIZES[:2] if small else SIZES
    for relays in sizes:
        for control in CONTROLS:
            measure_release(relays, control, results)
        results.add("signs.bytes", relays, relays * len(PING))
    measure_discovery(sizes, small, results)
    notes = dict(REST)
    for control, said in CONTROLS.items():
        for part, (unit, note) in PARTS.items():
            notes[f"{control}.{part}"] = unit, "relays", f"{note}; {said}; {SIMULATION_NOTE}; one seed"
    for case, said in CASES.items():
        for part, (unit, note) in SIDES.items():
            notes[f"{case}.{part}"] = unit, "relays", f"{note}; {said}; {MODEL_NOTE}; one seed"
    return [
        Series(SUBJECT, name, unit, by, results.points[name], note)
        for name, (unit, by, note) in notes.items()
        if name in results.points
    ]
