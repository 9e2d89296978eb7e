"""Searches every interleaving of two runners, one store and one relay, for plans of up to four steps.

The search in CI covers two steps. This one covers longer plans and more faults (a lost reply, a runner killed right
after a request, a request carried out long after its sender gave up or died). It also turns off each safety check in
turn, to show that the search then finds a violation.

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


def plan(step_count: int) -> MigrationPlan:
    """A plan of `step_count` steps in sequence: expand, backfill, expand; the last one is a contract step instead."""
    kinds = ("expand", "backfill", "expand", "contract")[: step_count - 1]
    kinds = (*kinds, "contract") if step_count > 1 else kinds
    steps = list[MigrationStep]()
    for number, kind in enumerate(kinds):
        batch = BatchSettings("t", "id", 10, 1e6, 25) if kind == "backfill" else None
        after = [steps[-1].name] if steps else []
        texts = [f"{number} :low"] if batch else [str(number)]
        steps.append(MigrationStep(f"s{number}", kind, after, texts, texts, 1000.0, batch))
    builds = [BuildRequirements(1, [], [steps[-1].name] if step_count > 1 else [], "")]
    builds.append(BuildRequirements(2, [StageNeed(steps[0].name, 0)], [], ""))
    return MigrationPlan("p", steps, builds)


CASES: dict[str, tuple[Operation, ...]] = {
    "run and run": ("run", "run"),
    "run and undo": ("run", "undo"),
    "run and resume": ("run", "resume"),
}
DISABLED_CHECKS = {
    "fencing": SafetyChecks(fencing=False),
    "effect marks": SafetyChecks(effect_marks=False),
    "barrier": SafetyChecks(barrier=False),
    "intent first": SafetyChecks(intent_first=False),
}


def run_search(job: tuple[int, str, int, str]) -> tuple[int, str, int, str, SearchResult, float]:
    """Makes one search."""
    step_count, case, faults, without = job
    goals = [Goal(plan(step_count), what, allow_ending_rollback=True) for what in CASES[case]]
    began = time.perf_counter()
    found = search((goals[0], goals[1]), faults, DISABLED_CHECKS.get(without, ALL_CHECKS), max_states=20_000_000)
    return step_count, case, faults, without, found, time.perf_counter() - began


@click.command()
@click.option("--faults", default=1, help="Number of faults in one interleaving.")
@click.option("--steps", default=4)
@click.option("--procs", default=4)
def main(faults: int, steps: int, procs: int) -> None:
    """Prints states, ends and violations of each search."""
    jobs = [(step_count, case, faults, "") for step_count in range(2, steps + 1) for case in CASES]
    jobs += [(2, case, faults, without) for without in DISABLED_CHECKS for case in ("run and run", "run and undo")]
    click.echo("steps | runners | faults | without | states | ends | found")
    with multiprocessing.Pool(procs) as pool:
        for step_count, case, faults, without, found, _ in pool.imap(run_search, jobs):
            result = f"{found.violation} (after {found.path_length} steps)" if found.violation else "no violation"
            click.echo(
                f"{step_count} | {case} | {faults} | {without or '-'} | {found.states} | {found.ends} | {result}"
            )


if __name__ == "__main__":
    main()
