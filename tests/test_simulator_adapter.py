"""Tests of the simulator adapter: unusual but valid input is translated, and malformed input is rejected."""

from __future__ import annotations

import io
import unittest

from lanelead.runtime.parameter_reader import ParameterError
from lanelead.simulator_adapter.host import serve

BEGIN = (
    "BEGIN 7 me=0 instances=2 zone=z discovery=automatic requestClasses.count=1 requestClasses.0.name=read "
    "requestClasses.0.aimMs=1000.0 requestClasses.0.deadlineMs=4000.0 requestClasses.0.repeat=read_like "
    "allowed.attemptsCap=3 familyInfo.shares=0.1,1.0 familyInfo.mostShares=0.1,1.0 unheard.of=1"
)
LIST = "MANIFEST 0 1\nENTRY z 0 - std unit.a 1 1 1\nDIRECTORY_UPDATE 0 1 0"
STATE = "ROLLOUT_STATE 1 1 2 0 success 1.0 10.0"
ASK = "ASK 00000000000000{} read - - 900.0 - 0 0"


def play(*batches: str) -> list[str]:
    lines = [f"TICK {5 * number}.0 {number}\n{batch}\nOVER_TO_YOU\n" for number, batch in enumerate(batches, 1)]
    sink = io.StringIO()
    serve(io.StringIO("".join(lines)), sink)
    return sink.getvalue().splitlines()


class SimulatorAdapter(unittest.TestCase):
    def test_a_request_is_sent_and_a_late_event_for_it_is_ignored(self) -> None:
        answer = "ANSWER 00000000000000aa unit.a 0 1 success 5.0 -"
        start = f"FOR relay/0\n{BEGIN}\n{LIST}\n{STATE}\n{ASK.format('aa')}"
        out = play(start, f"FOR relay/0\n{answer}\nTIMED_OUT_CLIENT 00000000000000aa")
        self.assertIn("CALL_OUT 00000000000000aa unit.a 900.0", out)
        self.assertEqual(out[-1], "EOR 2")

    def test_a_stop_and_a_begin_in_one_batch_start_a_new_instance(self) -> None:
        start = f"FOR relay/0\n{BEGIN}\n{LIST}\n{STATE}"
        out = play(f"{start}\n{ASK.format('aa')}\nSTOP\n{BEGIN}\n{LIST}\n{STATE}\n{ASK.format('bb')}")
        self.assertEqual([line[:25] for line in out if "CALL_OUT" in line], ["CALL_OUT 00000000000000bb"])

    def test_a_list_number_used_twice_in_one_batch_refers_to_the_newer_list(self) -> None:
        newer = LIST.replace("unit.a", "unit.b")
        out = play(f"FOR relay/0\n{BEGIN}\n{LIST}\n{STATE}\n{newer}\n{ASK.format('aa')}")
        self.assertIn("CALL_OUT 00000000000000aa unit.b 900.0", out)

    def test_malformed_input_raises_a_parameter_error(self) -> None:
        for line in ("ASK 1", "NONSENSE", "ELAPSED 9", "HEARD 1 zz", ASK.format("aa").replace("read", "x")):
            with self.subTest(line), self.assertRaises(ParameterError):
                play(f"FOR relay/0\n{BEGIN}\n{LIST}\n{STATE}\n{line}")


if __name__ == "__main__":
    unittest.main()
