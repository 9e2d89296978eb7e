"""What the verifier finds: per rule, per offered build, and over all. Field names are those of the verdict's JSON."""

from __future__ import annotations

import msgspec

MAX_CASES = 20  # reported of each rule
SHOWN_CASES = 5  # of them in the report for people


class Finding(msgspec.Struct):
    """One rule: how often something was at stake, how often it was broken, and the first cases."""

    seen: int = 0
    broken: int = 0
    cases: list[str] = []

    @property
    def word(self) -> str:
        """`broken`, `kept`, or `unproven` where nothing was at stake."""
        if self.broken:
            return "broken"
        return "kept" if self.seen else "unproven"

    def breach(self, text: str) -> None:
        """Counts a case that breaks the rule."""
        self.broken += 1
        if len(self.cases) < MAX_CASES:
            self.cases.append(text)


class Offered(msgspec.Struct):
    """A build that was offered; seconds are counted from then."""

    build: int
    bad: str | None
    sent_back: float | None = None
    released: float | None = None


class Verdict(msgspec.Struct):
    """What came of a scenario: the rules, the counts of requests, the share of their value that was served."""

    day: str
    rules: dict[str, Finding]
    lookups: int = 0
    done: int = 0
    shed: int = 0
    broken_off: int = 0
    lost: int = 0
    excused: int = 0  # sent to a relay that was killed, or was ending, before it could answer
    left: int = 0  # their clients left first
    service: float = 0.0
    builds: list[Offered] = []

    @property
    def kept(self) -> bool:
        """No rule is broken."""
        return not any(finding.broken for finding in self.rules.values())


def report(verdict: Verdict) -> str:
    """The verdict for people."""
    lines = [f"day {verdict.day}"]
    for rule, finding in verdict.rules.items():
        lines.append(f"  {rule:9} {finding.word:8}  at stake {finding.seen}, broken {finding.broken}")
        lines += [f"            {case}" for case in finding.cases[:SHOWN_CASES]]
    lines.append(
        f"  {verdict.lookups} requests: {verdict.done} succeeded, {verdict.shed} rejected, "
        f"{verdict.broken_off} failed, {verdict.lost} lost, {verdict.left} abandoned, "
        f"{verdict.excused} excused; service {verdict.service:.3f}"
    )
    lines += [_build_line(row) for row in verdict.builds]
    return "\n".join(lines)


def _build_line(row: Offered) -> str:
    kind = f"bad ({row.bad})" if row.bad else "good"
    ends = []
    if row.released is not None:
        ends.append(f"promoted after {row.released:.1f} s")
    if row.sent_back is not None:
        ends.append(f"rolled back after {row.sent_back:.1f} s")
    return f"  build {row.build}, {kind}: {', '.join(ends) or 'still a canary at the end'}"
