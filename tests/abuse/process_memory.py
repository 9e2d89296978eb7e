"""What a process takes of the machine: resident memory, the kernel's queues of its sockets, and descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import re
from dataclasses import dataclass
from pathlib import Path

SAMPLE_SECONDS = 0.05
INODE_COLUMN = 9  # of /proc/net/tcp (proc(5))
QUEUES_COLUMN = 4  # tx_queue:rx_queue, both hexadecimal


@dataclass
class ProcessUsage:
    """The largest values seen so far. `total_bytes` is the largest sum of resident memory and queues."""

    resident_bytes: int = 0
    receive_queue_bytes: int = 0
    send_queue_bytes: int = 0
    total_bytes: int = 0
    descriptors: int = 0

    def line(self) -> str:
        """Returns the values as a part of a report's line."""
        return (
            f"{self.total_bytes / 1e6:.1f} MB (resident {self.resident_bytes / 1e6:.1f}, "
            f"received {self.receive_queue_bytes / 1e6:.1f}, unsent {self.send_queue_bytes / 1e6:.1f}), "
            f"{self.descriptors} descriptors"
        )


def resident_bytes(pid: int) -> int:
    """Returns the largest resident size of a process so far (proc(5), VmHWM)."""
    found = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    return int(found.group(1)) * 1024 if found else 0


def queue_bytes(pid: int) -> tuple[int, int, int]:
    """Returns the bytes in the receive queues and send queues of a process's TCP sockets, and its descriptors."""
    names = []
    for link in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            names.append(str(link.readlink()))
    inodes = {name[8:-1] for name in names if name.startswith("socket:[")}
    received = unsent = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        if words[INODE_COLUMN] in inodes:
            sending, receiving = words[QUEUES_COLUMN].split(":")
            received += int(receiving, 16)
            unsent += int(sending, 16)
    return received, unsent, len(names)


async def watch_usage(pid: int, usage: ProcessUsage) -> None:
    """Updates `usage` until it is cancelled or the process has ended."""
    with contextlib.suppress(OSError):
        while True:
            resident = resident_bytes(pid)
            received, unsent, descriptors = queue_bytes(pid)
            usage.resident_bytes = max(usage.resident_bytes, resident)
            usage.receive_queue_bytes = max(usage.receive_queue_bytes, received)
            usage.send_queue_bytes = max(usage.send_queue_bytes, unsent)
            usage.total_bytes = max(usage.total_bytes, resident + received + unsent)
            usage.descriptors = max(usage.descriptors, descriptors)
            await asyncio.sleep(SAMPLE_SECONDS)
