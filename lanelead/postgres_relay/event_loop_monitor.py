"""How late the relay's process is, and what it holds: for the state that it writes to its log."""

from __future__ import annotations

import gc
import time


class Pauses:
    """The longest since they were last begun anew, seconds: `lag` of the loop, `pause` of the collector."""

    def __init__(self) -> None:
        self.lag = self.pause = self._began = 0.0

    def watch(self) -> None:
        gc.callbacks.append(self._collected)

    def end(self) -> None:
        gc.callbacks.remove(self._collected)

    def late(self, seconds: float) -> None:
        self.lag = max(self.lag, seconds)

    def anew(self) -> None:
        self.lag = self.pause = 0.0

    def _collected(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self._began = time.monotonic()
        else:
            self.pause = max(self.pause, time.monotonic() - self._began)

    def state(self) -> dict[str, float]:
        return {
            "lag_ms": round(self.lag * 1000, 1),
            "pause_ms": round(self.pause * 1000, 1),
            "cpu_s": round(time.process_time(), 2),
            "memory_mb": resident_mb(),
        }


def resident_mb() -> float:
    try:
        with open("/proc/self/statm") as file:
            return round(int(file.read().split()[1]) * 4096 / 1e6, 1)
    except (OSError, ValueError, IndexError):
        return 0.0
