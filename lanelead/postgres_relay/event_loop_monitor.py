"""How late the relay's process is, and what it holds: for the state that it writes to its log."""

from __future__ import annotations

import gc
import time


class EventLoopMonitor:
    """The longest since they were last begun anew, seconds: `lag` of the loop, `pause` of the collector."""

    def __init__(self) -> None:
        self.loop_lag_seconds = self.gc_pause_seconds = self._gc_started = 0.0

    def start(self) -> None:
        gc.callbacks.append(self._on_gc)

    def stop(self) -> None:
        gc.callbacks.remove(self._on_gc)

    def record_lag(self, seconds: float) -> None:
        self.loop_lag_seconds = max(self.loop_lag_seconds, seconds)

    def reset(self) -> None:
        self.loop_lag_seconds = self.gc_pause_seconds = 0.0

    def _on_gc(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self._gc_started = time.monotonic()
        else:
            self.gc_pause_seconds = max(self.gc_pause_seconds, time.monotonic() - self._gc_started)

    def state(self) -> dict[str, float]:
        return {
            "lag_ms": round(self.loop_lag_seconds * 1000, 1),
            "pause_ms": round(self.gc_pause_seconds * 1000, 1),
            "cpu_s": round(time.process_time(), 2),
            "memory_mb": resident_mb(),
        }


def resident_mb() -> float:
    try:
        with open("/proc/self/statm") as file:
            return round(int(file.read().split()[1]) * 4096 / 1e6, 1)
    except (OSError, ValueError, IndexError):
        return 0.0
