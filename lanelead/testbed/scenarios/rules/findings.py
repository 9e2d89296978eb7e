"""The verifier's results: per rule, per offered build, and over all. Field names are those of the verdict's JSON."""

from __future__ import annotations

import msgspec

MAX_CASES = 20  # cases kept for each rule
SHOWN_CASES = 5  # of these in the text report


class Finding(msgspec.Struct):
    """The result for one rule.

    `seen` counts the events by which the rule was tested, `broken` the breaches, and `cases` describes the first of
    these. Some breaches are found at events that are not counted as `seen`, and one event may hold two.
    """

    seen: int = 0
    broken: int = 0
    cases: list[str] = []

    @property
    def word(self) -> str:
        """`broken`, `kept`, or `unproven` where no event could have broken the rule."""
        if self.broken:
            return "broken"
        return "kept" if self.seen else "unproven"

    def breach(self, text: str) -> None:
        """Counts a case that breaks the rule."""
        self.broken += 1
        if len(self.cases) < MAX_CASES:
            self.cases.append(text)


class Offered(msgspec.Struct):
    """An offered build; `sent_back` (rolled back) and `released` (promoted) are seconds since the offer."""

    build: int
    bad: str | None
    sent_back: float | None = None
    released: float | None = None


class Verdict(msgspec.Struct):
    """The result for a scenario: the rules, the counts of requests, and the share of their value that was earned."""

    day: str
    rules: dict[str, Finding]
    lookups: int = 0
    done: int = 0
    shed: int = 0
    broken_off: int = 0
    lost: int = 0
    excused: int = 0  # received by a relay that was killed or ordered to end before it could respond
    left: int = 0  # the client left before the response
    service: float = 0.0
    builds: list[Offered] = []

    @property
    def kept(self) -> bool:
        """Whether no rule is broken."""
        return not any(finding.broken for finding in self.rules.values())


def report(verdict: Verdict) -> str:
    """Return the verdict as text."""
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
