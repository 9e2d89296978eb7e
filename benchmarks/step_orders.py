"""Every order of two runners, one store and one relay, for plans of up to four steps: states, ends, breaches.

The search in CI is for two steps; here it is for longer plans and more faults (a reply lost, a runner killed
right after a request, a request carried out long after its sender gave up or died), and each guard is taken
out in turn to see the search find it.

Run by hand: .venv/bin/python -m benchmarks.step_orders --faults 1
"""

from __future__ import annotations

import multiprocessing
import time

import click

from lanelead.migrations.runner import Goal, Operation
from lanelead.settings.migration_settings import (
    BatchSettings,
    BuildRequirements,
    MigrationPlan,
    MigrationStep,
    StageNeed,
)
from lanelead.testbed.simulation.migrations import ALL_CHECKS, SafetyChecks, SearchResult, search


def plan(many: int) -> MigrationPlan:
    """An expand, a backfill, an expand and a contract step, one after another: the first `many` of them."""
    kinds = ("expand", "backfill", "expand", "contract")[: many - 1]
    kinds = (*kinds, "contract") if many > 1 else kinds
    steps = list[MigrationStep]()
    for number, kind in enumerate(kinds):
        batch = BatchSettings("t", "id", 10, 1e6, 25) if kind == "backfill" else None
        after = [steps[-1].name] if steps else []
        texts = [f"{number} :low"] if batch else [str(number)]
        steps.append(MigrationStep(f"s{number}", kind, after, texts, texts, 1000.0, batch))
    builds = [BuildRequirements(1, [], [steps[-1].name] if many > 1 else [], "")]
    builds.append(BuildRequirements(2, [StageNeed(steps[0].name, 0)], [], ""))
    return MigrationPlan("p", steps, builds)


CASES: dict[str, tuple[Operation, ...]] = {
    "run and run": ("run", "run"),
    "run and undo": ("run", "undo"),
    "run and resume": ("run", "resume"),
}
OUT = {
    "the fence": SafetyChecks(fencing=False),
    "marks": SafetyChecks(effect_marks=False),
    "waiting for relays": SafetyChecks(barrier=False),
    "intent before effect": SafetyChecks(intent_first=False),
}


def one(job: tuple[int, str, int, str]) -> tuple[int, str, int, str, SearchResult, float]:
    many, case, faults, without = job
    goals = [Goal(plan(many), what, allow_ending_rollback=True) for what in CASES[case]]
    began = time.perf_counter()
    found = search((goals[0], goals[1]), faults, OUT.get(without, ALL_CHECKS), max_states=20_000_000)
    return many, case, faults, without, found, time.perf_counter() - began


@click.command()
@click.option("--faults", default=1, help="Faults in all, in one order.")
@click.option("--steps", default=4)
@click.option("--procs", default=4)
def main(faults: int, steps: int, procs: int) -> None:
    jobs = [(many, case, faults, "") for many in range(2, steps + 1) for case in CASES]
    jobs += [(2, case, faults, without) for without in OUT for case in ("run and run", "run and undo")]
    click.echo("steps | runners | faults | without | states | ends | found")
    with multiprocessing.Pool(procs) as pool:
        for many, case, faults, without, found, _ in pool.imap(one, jobs):
            said = f"{found.violation} (after {found.path_length} steps)" if found.violation else "no breach"
            click.echo(f"{many} | {case} | {faults} | {without or '-'} | {found.states} | {found.ends} | {said}")


if __name__ == "__main__":
    main()
