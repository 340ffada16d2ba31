"""Resource usage of a process."""

import pathlib
import re


def cpu_seconds(process):
    """CPU time of all threads from the scheduler's nanosecond counters,
    which are finer than the clock ticks of /proc/PID/stat."""
    total = 0
    for task in pathlib.Path(f"/proc/{process.handle.pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def resident_kb(process):
    text = pathlib.Path(f"/proc/{process.handle.pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1))


def control_bytes(host):
    """Control bytes that the host has exchanged with its peers since it started."""
    return sum(float(row["value"]) for row in host.rows("show metrics")
               if row["name"] == "wigeonlb_peer_bytes"
               and "class=control" in row["labels"])
