"""Measurements of the control cost as the system grows (slopes) and of recovery
from the loss or restart of many hosts (storms). See measure.py."""

import json
import socket
import time
import urllib.request

from figures import control_bytes, cpu_seconds, resident_kb
from process_tests import GROUP, Load
from system import System, wait_until
from users import header, print_row, start_user

MEASURE_WINDOW_S = 6
SETTLE_S = 3
DATA_CENTRES = ("dc0", "dc1", "dc2")


def measure_costs(hosts_by_role, seconds=MEASURE_WINDOW_S):
    """Measures all (role, host) pairs over the same time window. Returns for each
    role the CPU use in percent of a core, control bytes per second and resident
    memory in kB."""
    cpu = {role: cpu_seconds(host) for role, host in hosts_by_role}
    sent = {role: control_bytes(host) for role, host in hosts_by_role}
    start = time.monotonic()
    time.sleep(seconds)
    result = {}
    for role, host in hosts_by_role:
        length = time.monotonic() - start
        result[role] = (round((cpu_seconds(host) - cpu[role]) / length * 100, 3),
                        round((control_bytes(host) - sent[role]) / length),
                        resident_kb(host))
    return result


def print_costs(slope, x, *hosts_by_role):
    for role, figures in measure_costs(hosts_by_role).items():
        print_row(slope, x, role, *figures)


def leader_or_none(system):
    for host in system.hosts.values():
        if host.running():
            rows = host.rows("show config where key = 'leader'")
            if rows and rows[0]["value"]:
                leader = system.hosts[rows[0]["value"]]
                return leader if leader.running() else None
    return None


def leader_of(system):
    wait_until(lambda: leader_or_none(system), 20, "a leader")
    return leader_or_none(system)


def follower_of(system):
    """A host that is not a control member, or else a member that is not the
    leader."""
    leader = leader_of(system)
    others = [each for each in system.hosts.values() if each is not leader]
    return next((each for each in others if not each.member), others[0])


def create_groups(system, names, options=""):
    host = next(iter(system.hosts.values()))
    for start in range(0, len(names), 50):
        text = "; ".join(
            f"create group {name} with dialect = 'standin'{options}"
            for name in names[start:start + 50])

        def created():
            return host.statement(text, f"create-{names[start]}")[0] == 200

        wait_until(created, 20, "the groups are created")


def start_groups(system, groups, flags=("--slots", "3", "--connections", "20")):
    """Starts the system with groups of three targets and waits until an owner of
    each group holds a grant."""
    names = [f"g/{number}" for number in range(groups)]
    for name in names:
        system.add_group(name, DATA_CENTRES, list(flags))
    system.start()
    create_groups(system, names)
    host = next(iter(system.hosts.values()))
    for name in names:
        wait_until(lambda: system.primary(name, host), 30,
                   f"the primary of {name} is known")
    wait_until(lambda: granted(system, names), 30, "every group has a grant")


def granted(system, names):
    """Whether each group has an owner that holds a grant."""
    held = set()
    for host in system.hosts.values():
        if host.running():
            held |= {row["group"] for row in host.rows("show grants")}
    return held >= set(names)


def slope_groups_known():
    """Cost by the number of groups that have one owner and no targets, spread over
    12 hosts."""
    with System() as system:
        for number in range(12):
            system.add_host(f"h{number}", DATA_CENTRES[number % 3], member=number < 3)
        system.start()
        leader_of(system)
        known = 0
        for groups in (3, 30, 300, 980):
            create_groups(system,
                          [f"load/{each}" for each in range(known, groups)],
                          ", owners = 1")
            known = groups
            time.sleep(SETTLE_S)
            print_costs("groups_known", groups, ("leader", leader_of(system)),
                        ("host", follower_of(system)))


def slope_groups_owned():
    """Cost by the number of groups of three stand-in targets that are owned by h0,
    h1 and h2 only. The role `bystander` is a host in a data centre without
    targets."""
    for groups in (1, 3, 9, 30):
        with System() as system:
            for number in range(3):
                system.add_host(f"h{number}", DATA_CENTRES[number])
            bystander = system.add_host("away", "dc3", member=False)
            start_groups(system, groups)
            time.sleep(SETTLE_S)
            leader = leader_of(system)
            owner = next(each for each in system.hosts.values()
                         if each not in (leader, bystander))
            print_costs("groups_owned", groups, ("leader", leader),
                        ("host", owner), ("bystander", bystander))


OPERATOR_REQUESTS = 40


def get_metrics(host):
    url = f"http://127.0.0.1:{host.operator}/metrics"
    with urllib.request.urlopen(url, timeout=8) as answer:
        return answer.read()


def print_operator_cost(hosts, host):
    """Prints the mean CPU milliseconds and the response size of an operator
    request."""
    for name, send_request in (
            ("metrics", lambda: len(get_metrics(host))),
            ("show_hosts", lambda: len(json.dumps(host.rows("show hosts"))))):
        cpu, start = cpu_seconds(host), time.monotonic()
        for _ in range(OPERATOR_REQUESTS):
            size = send_request()
        length = (time.monotonic() - start) / OPERATOR_REQUESTS
        used = (cpu_seconds(host) - cpu) / OPERATOR_REQUESTS
        print_row("operator", hosts, name, round(used * 1000, 3), size,
                  f"ms_each={length * 1000:.1f}")


def slope_hosts():
    for hosts in (4, 12, 36, 100, 250):
        with System() as system:
            for number in range(hosts):
                system.add_host(f"h{number}", DATA_CENTRES[number % 3],
                                member=number < 3)
            system.start()
            leader = leader_of(system)
            wait_until(lambda: len(leader.rows("show hosts")) == hosts, 40,
                       "every host is listed")
            time.sleep(SETTLE_S)
            print_costs("hosts", hosts, ("leader", leader),
                        ("host", follower_of(system)))
            print_operator_cost(hosts, leader)


def slope_sessions():
    startup = (b"\x00\x03\x00\x00user\x00u\x00database\x00" + GROUP.encode()
               + b"\x00\x00")
    startup = (len(startup) + 4).to_bytes(4, "big") + startup
    with System() as system:
        start_user(system, "patitos")
        host = follower_of(system)
        opened = []
        for count in (0, 500, 1000, 2000, 4000):
            while len(opened) < count:
                each = socket.create_connection(("127.0.0.1", host.caller))
                each.sendall(startup)
                each.recv(4096)
                opened.append(each)
            print_costs("sessions", count, ("host", host))
        for each in opened:
            each.close()


def slope_statements():
    with System() as system:
        start_user(system, "patitos")
        host = list(system.hosts.values())[0]
        for sessions in (2, 4, 8):
            cpu, start = cpu_seconds(host), time.monotonic()
            load = Load(system, 5, sessions=sessions, write_share=0.1, seed=1,
                        hosts=[host], extra=["--move-share", "0", "--pause-ms",
                                             "4", "--run", f"s{sessions}"])
            figures = load.finish_unchecked()
            seconds = time.monotonic() - start
            total = int(figures["reads"]) + int(figures["writes"])
            print_row("statements_per_s", round(total / seconds), "host",
                      round((cpu_seconds(host) - cpu) / seconds * 100, 2), "",
                      resident_kb(host))


def slope_changes():
    with System() as system:
        for number in range(9):
            system.add_host(f"h{number}", DATA_CENTRES[number % 3], member=number < 3)
        system.start()
        leader_of(system)
        create_groups(system, ["load/0"])
        host = next(iter(system.hosts.values()))
        done = 0
        for changes in (100, 300, 1000):
            start, first = time.monotonic(), done
            while done < changes:
                done += 1
                status, answer = host.statement(
                    f"set group load/0 max_age = '{done}s'", f"change-{done}")
                assert status == 200, answer
            each_ms = (time.monotonic() - start) * 1000 / (changes - first)

            def in_force():
                return all(
                    (other.rows("show groups where name = 'load/0'")
                     or [{}])[0].get("max_age") == f"{done}s"
                    for other in system.hosts.values())

            waited = wait_until(in_force, 12, "the change is in force on every host")
            leader = leader_of(system)
            folder = sum(path.stat().st_size
                         for path in leader.data_folder.iterdir())
            print_row("changes", changes, f"in_force_s={waited:.3f}",
                      f"ms_each={each_ms:.2f}", f"folder_bytes={folder}",
                      resident_kb(leader))


def run_slopes(options):
    del options
    header("slope", "x", "role", "core_percent", "control_bytes_per_s",
           "resident_kb")
    slope_groups_known()
    slope_groups_owned()
    slope_hosts()
    slope_sessions()
    slope_statements()
    slope_changes()


STORM_HOSTS, STORM_GROUPS, STORM_LOAD_S = 36, 4, 14


def kill_leader(system):
    leader_of(system).kill()


def kill_data_centre(system):
    for each in list(system.hosts.values()) + system.targets:
        if each.data_centre == DATA_CENTRES[1]:
            each.kill()


def restart_data_centre(system):
    for each in system.targets:
        if not each.running():
            each.restart_blank()
    for each in system.hosts.values():
        if not each.running():
            each.start()


def kill_rack(system):
    """Kills a control member that is not the leader, and three other hosts."""
    leader = leader_of(system)
    members = [each for each in system.hosts.values()
               if each.member and each is not leader and each.running()]
    others = [each for each in system.hosts.values()
              if not each.member and each.running()]
    for each in members[:1] + others[:3]:
        each.kill()


def restart_in_sequence(system):
    for each in [each for each in system.hosts.values()
                 if not each.member][:6]:
        each.kill()
        each.start()
        wait_until(lambda: each.health() == 200, 10, f"{each.name} is healthy")


def settled(system, names):
    """Whether the leader lists exactly the running hosts and every group has a
    grant."""
    leader = leader_or_none(system)
    if leader is None:
        return False
    running = {each.name for each in system.hosts.values() if each.running()}
    listed = {row["host"] for row in leader.rows("show hosts")}
    return listed == running and granted(system, names)


def run_storm(system, name, event, load_s=STORM_LOAD_S):
    hosts = [each for each in system.hosts.values() if each.running()]
    names = [f"g/{number}" for number in range(STORM_GROUPS)] + [GROUP]
    unaffected = [each for each in hosts if each.data_centre == DATA_CENTRES[2]
            and not each.member]
    load = Load(system, load_s, sessions=8, hosts=unaffected, seed=1,
                extra=["--run", name.replace("_", "-")])
    time.sleep(1)
    before = {each.name: (cpu_seconds(each), control_bytes(each))
              for each in hosts if each.member}
    start = time.monotonic()
    event(system)
    time.sleep(0.2)
    wait_until(lambda: settled(system, names), 30,
               f"the system has recovered from {name}")
    seconds = time.monotonic() - start
    leader = leader_of(system)
    cpu, sent = before.get(leader.name, (0, 0))
    used, moved = cpu_seconds(leader) - cpu, control_bytes(leader) - sent
    figures = load.finish_unchecked()
    print_row(name, len(system.hosts), round(seconds, 2),
              round(used / seconds * 100, 1), round(moved / seconds),
              figures["longest_write_gap_ms"], figures["acknowledged"],
              figures["not_run"], figures["unknown"], figures["missing"],
              figures["doubled"], figures["stale"])


def run_storms(options):
    del options
    header("storm", "hosts", "settled_s", "leader_core_percent",
           "leader_control_bytes_per_s", "longest_write_gap_ms", "acknowledged",
           "not_run", "unknown", "missing", "doubled", "stale")
    flags = ["--slots", "3", "--connections", "20", "--ship-delay-ms", "1"]
    for cases in ([("leader_killed", kill_leader)],
                  [("data_centre_killed", kill_data_centre),
                   ("data_centre_returns", restart_data_centre)],
                  [("rack_with_member_killed", kill_rack)],
                  [("restarts_in_sequence", restart_in_sequence)]):
        with System() as system:
            for number in range(STORM_HOSTS):
                system.add_host(f"h{number}", DATA_CENTRES[number % 3],
                                member=number < 5)
            system.add_group(GROUP, DATA_CENTRES, flags)
            start_groups(system, STORM_GROUPS, flags)
            create_groups(system, [GROUP])
            wait_until(lambda: granted(system, [GROUP]), 20, "the group has a grant")
            system.wait_served(GROUP)
            for name, event in cases:
                run_storm(system, name, event)
