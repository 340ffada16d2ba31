"""Shared by the measurements: shapes of the users' systems, CSV output and
resource usage of a process. The output is CSV with comments after `#`."""

import os
import pathlib
import re
import sys

from process_tests import GROUP

USERS = {
    "patitos": {
        "hosts": ["centro-a", "centro-b", "centro-c"] * 3,
        "data_centres": ("centro-a", "centro-b", "centro-c"),
        "flags": ["--slots", "3", "--connections", "20",
                  "--connect-cost-ms", "10", "--ship-delay-ms", "2"],
    },
    "benjelloun": {
        "hosts": ["casa-ain", "rabat-sal", "kenitra", "meknes"] * 2,
        "data_centres": ("casa-ain", "rabat-sal", "kenitra"),
        "flags": ["--slots", "2", "--connections", "30",
                  "--connect-cost-ms", "30", "--ship-delay-ms", "1"],
    },
}
MEMBERS = 3


def start_user(system, user, target_flags=("--apply-delay-ms", "20"),
               options="", prepare=None):
    """Starts a system of a user's shape with one group and waits until it serves.

    prepare(system), if given, runs before the processes are started.
    """
    shape = USERS[user]
    for number, data_centre in enumerate(shape["hosts"]):
        system.add_host(f"{data_centre}-{number}", data_centre, member=number < MEMBERS)
    system.add_group(GROUP, shape["data_centres"],
                     shape["flags"] + [str(each) for each in target_flags])
    if prepare:
        prepare(system)
    system.start()
    system.create_group(GROUP, options)
    system.wait_served(GROUP)


def header(*columns):
    print("# " + " ".join(["tools/measure"] + sys.argv[1:]))
    print(",".join(columns), flush=True)


def print_row(*values):
    print(",".join(str(each) for each in values), flush=True)


def print_comment(text):
    print(f"# {text}", flush=True)


def print_load_average():
    print_comment("load average of the machine, 1 min: %.1f on %d cores"
           % (os.getloadavg()[0], os.cpu_count()))


def cpu_seconds(process):
    """CPU time of the process, with the resolution of the clock tick."""
    fields = pathlib.Path(f"/proc/{process.handle.pid}/stat").read_text()
    fields = fields.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def count_wake_ups(process):
    """Voluntary context switches of all threads of the process since its start."""
    total = 0
    for task in pathlib.Path(f"/proc/{process.handle.pid}/task").iterdir():
        text = (task / "status").read_text()
        total += int(re.search(r"\nvoluntary_ctxt_switches:\s+(\d+)",
                               text).group(1))
    return total


def owners_of(system):
    """The hosts that own the group, in order of preference."""
    host = next(iter(system.hosts.values()))
    names = host.rows(f"show groups where name = '{GROUP}'")[0]["owners"]
    return [system.hosts[name] for name in names.split()]
