"""What makes a plan of steps fit to run; said before anything runs, with the place in the file.

names     a name stands for one step, in all plans together
order     steps come only after steps of their own plan, and in no circle
batches   a backfill goes in batches, other steps don't
fitting   each build works on at least one state that the plan can be in
overlap   there is a state on which a build and the next one both work, or traffic could not move
ends      only a contract step ends a build, and some later build works once it is done
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from graphlib import CycleError, TopologicalSorter
from itertools import pairwise

from lanelead.settings.cue import Fault, Spot, Unfit
from lanelead.settings.records import Demands, Step, Steps

Spots = dict[str, Spot]


def ordered(plan: Steps) -> list[Step]:
    """The steps in the order in which they run: after what they come after, else as written."""
    place = {step.name: number for number, step in enumerate(plan.steps)}
    sorter = TopologicalSorter({step.name: step.after for step in plan.steps})
    sorter.prepare()
    found = list[Step]()
    waiting = list[str]()
    while sorter.is_active():
        waiting += sorter.get_ready()
        waiting.sort(key=place.__getitem__)
        name = waiting.pop(0)
        found.append(plan.steps[place[name]])
        sorter.done(name)
    return found


def before(plan: Steps, names: Iterable[str]) -> set[str]:
    """These steps and all that they come after, however far."""
    steps = {step.name: step for step in plan.steps}
    found, left = set[str](), [name for name in names if name in steps]
    while left:
        name = left.pop()
        if name not in found:
            found.add(name)
            left += [other for other in steps[name].after if other in steps]
    return found


def check(plans: Sequence[tuple[Steps, Spots]]) -> None:
    """Raises Unfit with all that is wrong with the plans, alone and together."""
    faults, owners = list[Fault](), dict[str, str]()
    for plan, spots in plans:
        fine = len(faults)
        _names(plan, spots, owners, faults)
        _order(plan, spots, faults)
        if len(faults) == fine:  # what follows would only repeat it
            _builds(plan, spots, faults)
    if faults:
        raise Unfit(faults)


def _names(plan: Steps, spots: Spots, owners: dict[str, str], faults: list[Fault]) -> None:
    here = set[str]()
    for number, step in enumerate(plan.steps):
        path = f"steps.steps[{number}]"
        spot = spots.get(f"{path}.name", spots[""])
        if step.name in here:
            faults.append(Fault(spot, f"{path}.name", f"{step.name!r} again", "a name used once"))
        elif step.name in owners:
            owner = f"{step.name!r}, which plan {owners[step.name]!r} claims"
            faults.append(Fault(spot, f"{path}.name", owner, "a name that no other plan has"))
        here.add(step.name)
        owners.setdefault(step.name, plan.name)
        if (step.kind == "backfill") is (step.batch is None):
            found, wanted = (
                ("none", "the batches of a backfill")
                if step.batch is None
                else ("batches", "none: only a backfill goes in batches")
            )
            faults.append(Fault(spot, f"{path}.batch", found, wanted))


def _order(plan: Steps, spots: Spots, faults: list[Fault]) -> None:
    names = {step.name for step in plan.steps}
    for number, step in enumerate(plan.steps):
        for which, name in enumerate(step.after):
            path = f"steps.steps[{number}].after[{which}]"
            if name not in names:
                faults.append(Fault(spots.get(path, spots[""]), path, repr(name), "a step of this plan"))
    try:
        TopologicalSorter({step.name: step.after for step in plan.steps}).prepare()
    except CycleError as fault:
        circle = " after ".join(reversed(fault.args[1]))
        place = next(n for n, step in enumerate(plan.steps) if step.name in fault.args[1])
        path = f"steps.steps[{place}].after"
        faults.append(Fault(spots.get(path, spots[""]), path, circle, "steps in no circle"))


def _builds(plan: Steps, spots: Spots, faults: list[Fault]) -> None:
    steps = {step.name: step for step in plan.steps}

    def blame(path: str, found: str, expected: str) -> None:
        faults.append(Fault(spots.get(path, spots[""]), path, found, expected))

    for number, build in enumerate(plan.builds):
        path = f"steps.builds[{number}]"
        if any(other.build == build.build for other in plan.builds[:number]):
            blame(f"{path}.build", f"{build.build} again", "a build named once")
        for which, need in enumerate(build.needs):
            if need.step not in steps:
                blame(f"{path}.needs[{which}].step", repr(need.step), "a step of this plan")
        for which, name in enumerate(build.until):
            if name not in steps:
                blame(f"{path}.until[{which}]", repr(name), "a step of this plan")
            elif steps[name].kind != "contract":
                found = f"{name!r}, a step to {steps[name].kind}"
                blame(f"{path}.until[{which}]", found, "a contract step: only those end a build")
        if ends := sorted(_needed(plan, build) & set(build.until)):
            found = f"build {build.build} needs what comes after {ends[0]!r}, and works only until then"
            blame(f"{path}.until", found, "a state of the plan on which the build works")
    rows = sorted(plan.builds, key=lambda build: build.build)
    place = {build.build: number for number, build in enumerate(plan.builds)}
    for earlier, later in pairwise(rows):
        path = f"steps.builds[{place[earlier.build]}].until"
        if ends := sorted((_needed(plan, later) - _needed(plan, earlier)) & set(earlier.until)):
            found = f"contract step {ends[0]!r}, which build {later.build} needs done first"
            blame(path, found, f"a state on which builds {earlier.build} and {later.build} both work")
    for earlier in rows:
        path = f"steps.builds[{place[earlier.build]}].until"
        for name in earlier.until:
            done = before(plan, [name])
            heirs = [b for b in rows if b.build > earlier.build and name not in b.until]
            if not any(_needed(plan, heir) <= done for heir in heirs):
                found = f"{name!r}, after which no later build of the plan works"
                blame(path, found, "a contract step that comes after what a later build needs")


def _needed(plan: Steps, build: Demands) -> set[str]:
    return before(plan, [need.step for need in build.needs])
