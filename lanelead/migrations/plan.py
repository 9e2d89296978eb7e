"""Checks of migration plans, whose faults are reported with their position in the file before any step runs.

names     step names are unique across all plans
order     steps depend only on steps of their own plan, without a cycle
batches   backfill steps have batch settings, other steps have none
states    for each build there is at least one state of the plan on which it works
overlap   each build and the next one share a state on which both work; otherwise traffic could not move over
ends      only a contract step ends a build, and a later build works once that step is done
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from graphlib import CycleError, TopologicalSorter
from itertools import pairwise

from lanelead.settings.errors import Position, SettingsError, SettingsFault
from lanelead.settings.migration_settings import BuildRequirements, MigrationPlan, MigrationStep

Positions = dict[str, Position]  # the position in the file of each path in a plan; "" stands for the whole plan


def execution_order(plan: MigrationPlan) -> list[MigrationStep]:
    """The steps in the order in which they run: after the steps that they depend on, otherwise as in the file.

    Raises graphlib.CycleError if the dependencies have a cycle.
    """
    index = {step.name: number for number, step in enumerate(plan.steps)}
    sorter = TopologicalSorter({step.name: step.after for step in plan.steps})
    sorter.prepare()
    steps: list[MigrationStep] = []
    waiting: list[str] = []
    while sorter.is_active():
        waiting += sorter.get_ready()
        waiting.sort(key=index.__getitem__)
        name = waiting.pop(0)
        steps.append(plan.steps[index[name]])
        sorter.done(name)
    return steps


def with_dependencies(plan: MigrationPlan, names: Iterable[str]) -> set[str]:
    """The named steps and their direct and indirect dependencies; names that the plan does not have are ignored."""
    steps = {step.name: step for step in plan.steps}
    found: set[str] = set()
    remaining = [name for name in names if name in steps]
    while remaining:
        name = remaining.pop()
        if name not in found:
            found.add(name)
            remaining += [other for other in steps[name].after if other in steps]
    return found


def check_plans(plans: Sequence[tuple[MigrationPlan, Positions]]) -> None:
    """Checks plans, each alone and all together. Raises SettingsError with all faults found."""
    faults: list[SettingsFault] = []
    owners: dict[str, str] = {}
    for plan, positions in plans:
        checker = _PlanChecker(plan, positions)
        checker.check(owners)
        faults += checker.faults
    if faults:
        raise SettingsError(faults)


class _PlanChecker:
    """Collects the faults of one plan."""

    def __init__(self, plan: MigrationPlan, positions: Positions) -> None:
        self._plan = plan
        self._positions = positions
        self._steps = {step.name: step for step in plan.steps}
        self.faults: list[SettingsFault] = []

    def check(self, owners: dict[str, str]) -> None:
        """Runs all checks; `owners`, which maps step names to the plans that have them, is extended by this plan's."""
        self._check_names(owners)
        self._check_order()
        if self.faults:  # the checks below would only report the same faults again
            return
        for number in range(len(self._plan.builds)):
            self._check_build(number)
        self._check_overlaps()
        self._check_ends()

    def _report(self, path: str, found: str, expected: str, position_path: str | None = None) -> None:
        position = self._positions.get(path if position_path is None else position_path, self._positions[""])
        self.faults.append(SettingsFault(position, path, found, expected))

    def _check_names(self, owners: dict[str, str]) -> None:
        seen: set[str] = set()
        for number, step in enumerate(self._plan.steps):
            path = f"steps.steps[{number}]"
            if step.name in seen:
                self._report(f"{path}.name", f"{step.name!r} twice", "a name used once")
            elif step.name in owners:
                owner = f"{step.name!r}, which plan {owners[step.name]!r} claims"
                self._report(f"{path}.name", owner, "a name that no other plan has")
            seen.add(step.name)
            owners.setdefault(step.name, self._plan.name)
            if step.kind == "backfill" and step.batch is None:
                self._report(f"{path}.batch", "none", "the batches of a backfill step", f"{path}.name")
            elif step.kind != "backfill" and step.batch is not None:
                self._report(f"{path}.batch", "batches", "none: only a backfill step has batches", f"{path}.name")

    def _check_order(self) -> None:
        for number, step in enumerate(self._plan.steps):
            for index, name in enumerate(step.after):
                if name not in self._steps:
                    self._report(f"steps.steps[{number}].after[{index}]", repr(name), "a step of this plan")
        try:
            TopologicalSorter({step.name: step.after for step in self._plan.steps}).prepare()
        except CycleError as error:
            names = error.args[1]
            first = next(number for number, step in enumerate(self._plan.steps) if step.name in names)
            self._report(f"steps.steps[{first}].after", " after ".join(reversed(names)), "steps without a cycle")

    def _check_build(self, number: int) -> None:
        build = self._plan.builds[number]
        path = f"steps.builds[{number}]"
        if any(other.build == build.build for other in self._plan.builds[:number]):
            self._report(f"{path}.build", f"{build.build} twice", "a build named once")
        for index, need in enumerate(build.needs):
            if need.step not in self._steps:
                self._report(f"{path}.needs[{index}].step", repr(need.step), "a step of this plan")
        for index, name in enumerate(build.until):
            if name not in self._steps:
                self._report(f"{path}.until[{index}]", repr(name), "a step of this plan")
            elif self._steps[name].kind != "contract":
                found = f"{name!r}, a step of kind {self._steps[name].kind}"
                self._report(f"{path}.until[{index}]", found, "a contract step: only those end a build")
        ends = sorted(self._needed(build) & set(build.until))
        if ends:
            found = f"build {build.build} needs {ends[0]!r} to be done, and works only until it begins"
            self._report(f"{path}.until", found, "a state of the plan on which the build works")

    def _check_overlaps(self) -> None:
        for earlier, later in pairwise(self._builds_in_order()):
            ends = sorted((self._needed(later) - self._needed(earlier)) & set(earlier.until))
            if ends:
                found = f"contract step {ends[0]!r}, which build {later.build} needs to be done"
                expected = f"a state on which builds {earlier.build} and {later.build} both work"
                self._report(self._until_path(earlier), found, expected)

    def _check_ends(self) -> None:
        builds = self._builds_in_order()
        for earlier in builds:
            for name in earlier.until:
                done = with_dependencies(self._plan, [name])
                later = [build for build in builds if build.build > earlier.build and name not in build.until]
                if not any(self._needed(build) <= done for build in later):
                    found = f"{name!r}, after which no later build of the plan works"
                    expected = "a contract step whose dependencies include all that a later build needs"
                    self._report(self._until_path(earlier), found, expected)

    def _builds_in_order(self) -> list[BuildRequirements]:
        return sorted(self._plan.builds, key=lambda build: build.build)

    def _until_path(self, build: BuildRequirements) -> str:
        numbers = {other.build: number for number, other in enumerate(self._plan.builds)}
        return f"steps.builds[{numbers[build.build]}].until"

    def _needed(self, build: BuildRequirements) -> set[str]:
        return with_dependencies(self._plan, [need.step for need in build.needs])
