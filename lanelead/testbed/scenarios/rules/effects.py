"""Rule 2 (see verifier.py): no effect happens twice.

A request is rejected, or attempted again, only where no earlier attempt of it may have run.
"""

from __future__ import annotations

from lanelead.settings.service_settings import RequestClassSettings
from lanelead.testbed.scenarios.rules.findings import Finding
from lanelead.testbed.scenarios.rules.recording import CLOCK_SLACK_SECONDS, RecordedEvent, Recording, by_key


class _EffectCheck:
    """Checks the attempts of every request and the effects of every operation."""

    def __init__(self, recording: Recording, finding: Finding) -> None:
        self._recording = recording
        self._finding = finding
        self._requests = {request["id"]: request for request in recording["ask"]}
        self._not_run = {
            (event["file"], event["id"]) for kind in ("turned_away", "expired") for event in recording[kind]
        }
        self._zone_and_cell = {event["file"]: (event["zone"], event["cell"]) for event in recording["up"]}
        self._rejected = {event["id"] for event in recording["answer"] if event["outcome"] == "shed"}
        self._operations: set[str] = set()

    def run(self) -> None:
        """Checks all requests, then all effects."""
        for request_id, attempts in sorted(by_key(self._recording["trip"], "id").items()):
            self._check_attempts(request_id, attempts)
        self._check_effects()

    def _check_attempts(self, request_id: str, attempts: list[RecordedEvent]) -> None:
        request = self._requests.get(request_id)
        name = request["lane"] if request else attempts[0]["lane"]
        request_class = self._recording.request_classes.get(name)
        if request is None or request_class is None or request_class.repeat == "pure":
            return
        self._finding.seen += 1
        self._operations.add(request["op"])
        # Endpoints record rejections by request: one that rejected an attempt counts as having run none of them.
        ran = [attempt for attempt in attempts if (attempt["file"], request_id) not in self._not_run]
        if not ran:
            return
        keyed = request_class.repeat == "receipted"
        if request_id in self._rejected and not (keyed and request_class.scope == "all"):
            self._finding.breach(f"{request_id}: rejected, though an attempt at {ran[0]['file']} may have run")
        later = [attempt for attempt in attempts if attempt["t"] > ran[0]["t"]]
        if request_class.repeat == "effectful" and later:
            self._finding.breach(f"{request_id}: sent to {later[0]['file']} after an attempt that may have run")
        if keyed:
            self._check_repeats(request_id, ran[0], later, request_class)

    def _check_repeats(
        self,
        request_id: str,
        first: RecordedEvent,
        later: list[RecordedEvent],
        request_class: RequestClassSettings,
    ) -> None:
        """Checks that repeats reach endpoints that know the key, within the time for which they remember it."""
        remembered_until = first["t"] + request_class.memory_ms / 1000 + CLOCK_SLACK_SECONDS
        for attempt in later:
            if self._recording.was_suspended(attempt) or self._recording.was_suspended(first):
                continue  # the time at which it was sent is unknown
            same_group = self._same_group(first, attempt, request_class.scope)
            if not same_group or attempt["t"] > remembered_until:
                reason = "outside the group" if not same_group else "after the key was forgotten"
                self._finding.breach(f"{request_id}: repeated at {attempt['file']}, {reason}")

    def _same_group(self, first: RecordedEvent, attempt: RecordedEvent, scope: str) -> bool:
        first_zone, first_cell = self._zone_and_cell[first["file"]]
        zone, cell = self._zone_and_cell[attempt["file"]]
        return bool({"all": True, "zone": zone == first_zone, "cell": cell == first_cell}[scope])

    def _check_effects(self) -> None:
        classes = self._recording.request_classes.values()
        keyed_classes = {request_class.name for request_class in classes if request_class.repeat == "receipted"}
        class_of = {request["op"]: request["lane"] for request in self._recording["ask"]}
        effects_of = by_key(self._recording["effect"], "op")
        for operation in sorted(self._operations):
            effects = effects_of.get(operation, [])
            if class_of[operation] in keyed_classes:
                # A stopped endpoint may run an attempt after its group has forgotten the key, whenever it was sent.
                effects = [effect for effect in effects if not self._recording.was_suspended(effect)]
            if len(effects) > 1:
                where = ", ".join(effect["file"] for effect in effects)
                self._finding.breach(f"{operation}: its effect happened {len(effects)} times ({where})")


def verify_effects(recording: Recording, finding: Finding) -> None:
    """Checks the attempts and effects of all requests, except those of idempotent classes."""
    _EffectCheck(recording, finding).run()
