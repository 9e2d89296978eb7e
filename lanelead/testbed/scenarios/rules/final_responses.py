"""Rule 1 (see verifier.py): every request gets one final response, in time, and nothing after it.

It holds for requests that a running relay received.
"""

from __future__ import annotations

from lanelead.testbed.scenarios.rules.findings import Finding, Verdict
from lanelead.testbed.scenarios.rules.recording import CLOCK_SLACK_SECONDS, RecordedEvent, Recording, by_key

FINAL_OUTCOMES = ("done", "shed", "broken-off")


class _ResponseCheck:
    """Counts requests into a verdict and checks their responses."""

    def __init__(self, recording: Recording, verdict: Verdict) -> None:
        self._recording = recording
        self._verdict = verdict
        self._finding: Finding = verdict.rules["answers"]
        self._slack_seconds = recording.scenario.slack_ms / 1000
        self._responses = by_key(recording["answer"], "id")
        self._left_clients = {event["id"]: event for event in recording["gone"]}
        self._first_try: dict[str, RecordedEvent] = {}
        self._value: dict[str, float] = {}  # value earned, by operation

    def run(self) -> None:
        """Counts and checks every request, and the bytes that came after final responses."""
        for request in self._recording["ask"]:
            self._verdict.lookups += 1
            self._first_try.setdefault(request["op"], request)
            responses = self._responses.get(request["id"], [])
            self._count(request, responses)
            if not self._nothing_due(request, responses):
                self._check(request, responses)
        for event in self._recording["extra"]:
            self._finding.breach(
                f"{event['id']} at relay {event['relay']}: {event['bytes']} bytes after its final response"
            )
        classes = self._recording.request_classes
        offered = sum(classes[request["lane"]].value for request in self._first_try.values())
        self._verdict.service = round(sum(self._value.values()) / offered, 4) if offered else 0.0

    def _count(self, request: RecordedEvent, responses: list[RecordedEvent]) -> None:
        for response in responses:
            match response["outcome"]:
                case "done":
                    self._verdict.done += 1
                    self._add_value(request, response)
                case "shed":
                    self._verdict.shed += 1
                case "broken-off":
                    self._verdict.broken_off += 1

    def _add_value(self, request: RecordedEvent, response: RecordedEvent) -> None:
        request_class = self._recording.request_classes[request["lane"]]
        operation = request["op"]
        latency = response["t"] - self._first_try[operation]["t"]
        in_time = latency <= request_class.expected_time_ms / 1000
        share = 1.0 if in_time else request_class.late_value
        value = 0.0 if response.get("wrong") else request_class.value * share
        self._value[operation] = max(value, self._value.get(operation, 0.0))

    def _nothing_due(self, request: RecordedEvent, responses: list[RecordedEvent]) -> bool:
        """Whether no response is due, and counts the request if so.

        None is due where the client left first, or the relay was killed or ordered to end before the client gave up.
        """
        if responses:
            return False
        gone = self._left_clients.get(request["id"])
        if gone is not None and gone.get("why") == "left":
            self._verdict.left += 1
            return True
        until = gone["t"] if gone is not None else request["t"] + request["left"]
        run = self._recording.run_at(request["relay"], request["t"])
        if run is None or run.end <= until + CLOCK_SLACK_SECONDS:
            self._verdict.excused += 1
            return True
        return False

    def _check(self, request: RecordedEvent, responses: list[RecordedEvent]) -> None:
        finding = self._finding
        finding.seen += 1
        at = f"{request['id']} at relay {request['relay']}"
        if not responses:
            self._verdict.lost += 1
            gone = self._left_clients.get(request["id"])
            why = gone["why"] if gone is not None else "no word at all"
            finding.breach(f"{at}: no final response ({why})")
            return
        first = responses[0]
        deadline = request["t"] + request["left"]
        if len(responses) > 1:
            finding.breach(f"{at}: {len(responses)} final responses")
        if first["t"] > deadline + self._slack_seconds:
            finding.breach(f"{at}: answered {first['t'] - deadline:.3f} s too late")
        if first["outcome"] not in FINAL_OUTCOMES:
            finding.breach(f"{at}: answered as {first['outcome']!r}")
        if "echo" in first:
            finding.breach(f"{at}: got the response to {first['echo']}")


def verify_final_responses(recording: Recording, verdict: Verdict) -> None:
    """Checks the rule and counts the requests into the verdict."""
    _ResponseCheck(recording, verdict).run()
