"""Event-loop lag, garbage collection pauses, CPU time and memory of the process, for the state document."""

from __future__ import annotations

import gc
import time

from lanelead.runtime.process_memory import resident_bytes


class EventLoopMonitor:
    """Keeps the longest event-loop lag and the longest garbage collection pause since the last `reset`, in seconds."""

    def __init__(self) -> None:
        self.loop_lag_seconds = 0.0
        self.gc_pause_seconds = 0.0
        self._gc_started = 0.0

    def start(self) -> None:
        """Starts to time garbage collections."""
        gc.callbacks.append(self._on_gc)

    def stop(self) -> None:
        """Stops timing garbage collections."""
        gc.callbacks.remove(self._on_gc)

    def record_lag(self, seconds: float) -> None:
        """Records that a timer of the event loop fired `seconds` too late."""
        self.loop_lag_seconds = max(self.loop_lag_seconds, seconds)

    def reset(self) -> None:
        """Sets both maxima back to zero."""
        self.loop_lag_seconds = 0.0
        self.gc_pause_seconds = 0.0

    def _on_gc(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self._gc_started = time.monotonic()
        else:
            self.gc_pause_seconds = max(self.gc_pause_seconds, time.monotonic() - self._gc_started)

    def state(self) -> dict[str, float]:
        """Returns the fields for the state document: milliseconds, CPU seconds and megabytes."""
        return {
            "loop_lag_ms": round(self.loop_lag_seconds * 1000, 1),
            "gc_pause_ms": round(self.gc_pause_seconds * 1000, 1),
            "cpu_s": round(time.process_time(), 2),
            "memory_mb": round(resident_bytes() / 1e6, 1),
        }
