"""Verifies the rules from a recording alone: what passed at the emulators' ends of the sockets.

 answers   every request that a running relay received gets one final response, in time, and nothing after it
 effects   no effect happens twice; rejections and retries only where no earlier attempt may have run
 drains    no attempt at an endpoint once the grace has passed since the relay was notified of its drain or removal
 cold      no endpoint in its slow start is sent more than a multiple of its capacity
 exposure  a relay's attempts at a canary build stay within its exposure limit

A rule that nothing in the recording could have broken is unproven, not kept. Two more rules apply where the scenario
has relays prefer their zones:

 spill     a relay's attempts outside its own zone stay within the configured share
 returns   no returning endpoint is sent more than its capacity at its stage of warming up

One more applies where it has a migration store:

 steps     no request against a schema that its build does not fit; no attempt at a build that must wait; each effect
           belongs to the intent in progress and is applied once; no step in progress at the end
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
    """Return the verdict on a recording's folder.

    Raises BadCapture where the folder does not hold a complete recording.
    """
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
