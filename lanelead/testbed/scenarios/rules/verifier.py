"""Verifies the rules from a recording alone: what passed at the emulators' ends of the sockets.

 answers   every request that a running relay took: one final response, in time, and nothing after it
 effects   no effect twice; a rejection, or another attempt, only where no earlier attempt may have run
 drains    no attempt at an endpoint later than the grace after the relay was notified that it drains or is gone
 cold      no endpoint that has just started sent more than the multiple of what it can do
 exposure  a relay's attempts at a canary build within the uncounted ones and the limit's share of its requests

A rule with nothing at stake is unproven, not kept. Where the scenario has relays prefer their zones, two more:

 spill     a relay's attempts outside its own zone within the stated part of what those endpoints would do for it
 returns   no returning endpoint sent more than it can do as warm as it is

Where it has a migration store, one more:

 steps     no request against a schema that its build does not fit, no attempt at a build that must wait, no effect
           but of the intent under way and once, and a log that is clear at the end
"""

from __future__ import annotations

from pathlib import Path

from lanelead.testbed.scenarios.rules.drains import verify_drains
from lanelead.testbed.scenarios.rules.effects import verify_effects
from lanelead.testbed.scenarios.rules.exposure import verify_exposure
from lanelead.testbed.scenarios.rules.final_responses import verify_final_responses
from lanelead.testbed.scenarios.rules.findings import Finding, Offered, Verdict
from lanelead.testbed.scenarios.rules.migrations import verify_migrations
from lanelead.testbed.scenarios.rules.recording import Recording
from lanelead.testbed.scenarios.rules.slow_start import verify_returns, verify_slow_start
from lanelead.testbed.scenarios.rules.spillover import verify_spillover

RULES = ("answers", "effects", "drains", "cold", "exposure")
ZONE_RULES = ("spill", "returns")
MIGRATION_RULE = "steps"


def verify(folder: Path) -> Verdict:
    """The verdict on a recording's folder. Raises BadCapture where it holds no whole recording."""
    recording = Recording(folder)
    scenario = recording.scenario
    verdict = Verdict(scenario.name, {rule: Finding() for rule in RULES})
    verify_final_responses(recording, verdict)
    verify_effects(recording, verdict.rules["effects"])
    verify_drains(recording, verdict.rules["drains"])
    verify_slow_start(recording, verdict.rules["cold"])
    verify_exposure(recording, verdict.rules["exposure"])
    if scenario.spill is not None:
        verdict.rules |= {name: Finding() for name in ZONE_RULES}
        verify_spillover(recording, scenario.spill, verdict.rules["spill"])
        verify_returns(recording, verdict.rules["returns"])
    if scenario.steps is not None:
        verdict.rules[MIGRATION_RULE] = Finding()
        verify_migrations(recording, verdict.rules[MIGRATION_RULE])
    verdict.builds = _offered_builds(recording)
    return verdict


def _offered_builds(recording: Recording) -> list[Offered]:
    offered = []
    for event in recording["offer"]:
        row = Offered(event["build"], event["bad"])
        for state in recording["state"]:
            if state["build"] == row.build and state["phase"] == "released" and row.released is None:
                row.released = round(state["t"] - event["t"], 2)
        for back in recording["sent_back"]:
            if back["build"] == row.build and row.sent_back is None:
                row.sent_back = round(back["t"] - event["t"], 2)
        offered.append(row)
    return offered
