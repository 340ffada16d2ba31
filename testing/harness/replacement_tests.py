"""Process tests of control hosts that are replaced for good: an empty host starts
at another address, and the data folder of the former one is never used again.

    replacement_tests.py NAME     runs one test
    replacement_tests.py --list   lists the tests

Three entry hosts without a disk serve the callers and the operator throughout.
Every fault happens under writes and with a change of the configuration about
each second. Violations are collected, so that a failure shows what followed.
"""

import signal
import sys
import threading
import time

from process_tests import (DATA_CENTRES, FAILOVER_BOUND_S, GROUP, TARGET_FLAGS,
                           Load, run_named)
from system import (BIN, PORTS, ConditionTimeout, Host, Process, System,
                    wait_until)

ZONES = (*DATA_CENTRES, "meknes")
SEEDS = 3  # a host is told three control hosts at most, as by the users' platform
RESEND_S = 10.0  # a change is resent for this time
IN_FORCE_S = 3.0  # until every entry host applies an acknowledged change
NEWCOMER_S = 1.5  # from a loss to the start of the empty host
INTERVAL_S = 6.0  # from one replacement to the next
STOP_S = 6.0  # a control host that is stopped ends within this time

MANY_CHANGES = 560  # more than the entries between two snapshots of a member
RESTART_S = 10.0  # from a restart of all hosts to a configuration at each

# The option that the changes set: above its default, and of no effect on the load.
OPTION, FIRST_VALUE = "queue", 5000


class SeededHost(Host):
    """A wigeonlbd process with control-seeds. Its id is its loopback address, and
    all hosts use the same peer port. A control host accepts no callers."""

    def __init__(self, fleet, number, data_centre, control):
        ports = PORTS.allocate(3) + [fleet.peer_port]
        super().__init__(
            fleet.system, f"127.1.0.{number}", data_centre, ports, control)
        self.fleet = fleet
        self.listening = f"{self.name}:{self.peer}"
        if self.relay:
            # Peers know the relay's address, which has the same port at all hosts.
            self.listening = f"127.2.0.{number}:{self.peer}"
            self.relay.route(self.listening, self.name, f"{self.name}:{self.peer}")

    def start(self):
        caller = "" if self.member else f"127.0.0.1:{self.caller}"
        seeds = ",".join(f"{each}:{self.announce}" for each in self.fleet.seeds())
        self.arguments = [
            str(BIN / "wigeonlbd"),
            "--host-id", self.name,
            "--data-centre", self.data_centre,
            "--caller-address", caller,
            "--operator-address", f"127.0.0.1:{self.operator}",
            "--announce-address", f"127.0.0.1:{self.announce}",
            "--peer-address", self.listening,
            "--peer-announced-address", f"{self.name}:{self.peer}",
            "--control-seeds", seeds,
            "--founding", "on" if self.fleet.founding else "off",
            "--tolerated-losses", str(self.fleet.losses),
        ] + self.system.host_flags
        if self.member:
            self.arguments += ["--data-folder", str(self.data_folder)]
        Process.start(self)


class Fleet:
    """Entry hosts and control hosts of one system, and what was violated."""

    def __init__(self, system, losses, controls, entry_zones=DATA_CENTRES):
        self.system = system
        self.losses = losses
        self.voter_count = 2 * losses + 1
        self.founding = True
        self.peer_port = PORTS.allocate(1)[0]
        self.problems = []
        self.entries = [self.add(zone, False) for zone in entry_zones]
        for number in range(controls):
            self.add(ZONES[number % len(ZONES)], True)
        system.add_group(GROUP, DATA_CENTRES, TARGET_FLAGS)
        for each in (*system.targets, *system.hosts.values()):
            each.start()
        self.founding = False
        wait_until(lambda: len(self.voters()) == self.voter_count, 15,
                   f"the system has {self.voter_count} voters")
        system.create_group(GROUP)
        # A host with control-seeds is healthy once it has a configuration.
        for host in self.entries:
            wait_until(lambda: host.health() == 200, 10, f"{host.name} is healthy")
        for host in self.controls():
            wait_until(lambda: host.rows("show members"), 10,
                       f"{host.name} has the list of members")
        self.begun = time.monotonic()

    def add(self, data_centre, control):
        host = SeededHost(
            self, len(self.system.hosts) + 1, data_centre, control)
        self.system.hosts[host.name] = host
        return host

    def controls(self):
        """The control hosts that run; before the first start, all of them."""
        return [each for each in self.system.hosts.values()
                if each.member and (self.founding or each.running())]

    def seeds(self):
        return [each.name for each in self.controls()[:SEEDS]]

    def leader(self):
        leader = self.system.leader(self.entries)
        return leader if leader and leader.running() else None

    def voters(self):
        """The voters as shown by the leader; none without one."""
        leader = self.leader()
        rows = leader.rows("show members") if leader else []
        return [self.system.hosts[row["host"]] for row in rows
                if "learner" not in row["role"]]

    def note(self, text):
        print(f"{time.monotonic() - self.begun:.1f} s: {text}", flush=True)

    def violated(self, text):
        self.note(f"VIOLATION: {text}")
        self.problems.append(text)

    def lose(self, *hosts):
        """Kills the hosts at the same moment. Their data folders are not used
        again."""
        leader = self.leader()
        for host in hosts:
            host.kill()
        for host in hosts:
            role = "leader" if host is leader else "no leader"
            self.note(f"{host.name} ({role}) is lost for good")

    def start_newcomer(self, former):
        host = self.add(former.data_centre, True)
        host.start()
        self.note(f"{host.name} starts empty in place of {former.name}")
        return host

    def check_voters(self, since):
        """Checks that the wanted number of voters is there and runs."""
        voters = self.voters()
        running = [each for each in voters if each.running()]
        if len(voters) != self.voter_count or len(running) != len(voters):
            self.violated(
                f"{since}: {len(running)} of {len(voters)} voters run,"
                f" wanted {self.voter_count}")

    def check_within(self, condition, seconds, what):
        """Like wait_until, but a time-out is a violation."""
        try:
            waited = wait_until(condition, seconds, what)
            self.note(f"{what} after {waited:.2f} s")
        except ConditionTimeout as error:
            self.violated(str(error))

    def check(self):
        assert not self.problems, "\n".join(self.problems)


class Changer(threading.Thread):
    """Changes the configuration about once a second through the entry hosts in
    turn. A change is resent under its id until it is acknowledged."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.stopping = threading.Event()
        self.acknowledged = 0
        self.slowest = 0.0
        self.shown = {}

    def run(self):
        number = 0
        while not self.stopping.wait(0.9):
            number += 1
            self.change(number)

    def change(self, number):
        sent = time.monotonic()
        hosts = self.fleet.entries
        attempt, answers = 0, []
        while (left := sent + RESEND_S - time.monotonic()) > 0:
            host = hosts[(number + attempt) % len(hosts)]
            attempt += 1
            status, answer = host.statement(
                f"set group {GROUP} {OPTION} = {FIRST_VALUE + number}",
                f"replacement-{number}", timeout=left)
            if status == 200:
                self.slowest = max(self.slowest, time.monotonic() - sent)
                self.acknowledged = number
                self.check_in_force(number)
                return
            answers.append((status, answer))
            time.sleep(0.1)
        self.fleet.violated(
            f"change {number} was not acknowledged within {RESEND_S} s,"
            f" {attempt} attempts: {answers}")

    def check_in_force(self, number):
        for host in self.fleet.entries:
            try:
                wait_until(lambda: self.newest_at(host) >= number, IN_FORCE_S,
                           f"{host.name} applies change {number}")
            except ConditionTimeout as error:
                self.fleet.violated(str(error))

    def newest_at(self, host):
        """The number of the newest change that the host applies; 0 if it shows
        none."""
        rows = host.rows(f"show config where key = '{OPTION}'")
        newest = int(rows[0]["value"]) - FIRST_VALUE if rows else 0
        before = self.shown.get(host, 0)
        if rows and newest < before:
            self.fleet.violated(f"{host.name} went back from {before} to {newest}")
        self.shown[host] = max(newest, before)
        return newest

    def stop(self):
        self.stopping.set()
        self.join()
        self.fleet.note(f"newest acknowledged change: {self.acknowledged},"
                        f" slowest {self.slowest * 1000:.0f} ms")
        if not self.acknowledged:
            self.fleet.violated("no change was acknowledged")


class UnderLoad:
    """Context of writes and changes; checks both at its end."""

    def __init__(self, fleet, seconds):
        self.fleet = fleet
        self.load = Load(fleet.system, seconds, sessions=4, write_share=0.5,
                         hosts=fleet.entries, extra=("--pause-ms", "20"))
        self.changer = Changer(fleet)
        self.changer.start()

    def __enter__(self):
        time.sleep(1.5)
        return self

    def __exit__(self, kind, value, trace):
        self.changer.stop()
        if kind is not None:
            return
        try:
            figures = self.load.finish()
        except AssertionError as error:
            self.fleet.violated(str(error))
            return
        gap = int(figures["longest_write_gap_ms"])
        if gap > FAILOVER_BOUND_S * 1000:
            self.fleet.violated(f"no write was acknowledged for {gap} ms")


def check_after_restart_of_all(fleet, newest):
    """All hosts lose power at once: the newest acknowledged change is kept."""
    running = fleet.entries + fleet.controls()
    seeds = fleet.seeds()
    fleet.seeds = lambda: seeds
    for host in running:
        host.kill()
    for host in running:
        host.start()
    fleet.note("all hosts start again")
    view = Changer(fleet)  # never started: only looks
    for host in fleet.entries:
        try:
            wait_until(lambda: view.newest_at(host) >= newest, 10,
                       f"{host.name} has change {newest} after a restart of all")
        except ConditionTimeout as error:
            fleet.violated(str(error))


def next_to_replace(fleet, remaining, count, leader_first):
    """Takes `count` of the remaining hosts: the leader, if it is one of them, at
    first or at last."""
    leader = fleet.leader()
    ordered = sorted(remaining, key=lambda each: (each is leader) != leader_first)
    for host in ordered[:count]:
        remaining.remove(host)
    return ordered[:count]


def replace_all(system, losses, controls, count):
    """Replaces every control host, `count` at the same moment."""
    fleet = Fleet(system, losses, controls)
    remaining = fleet.controls()
    rounds = len(remaining) // count
    with UnderLoad(fleet, 4 + rounds * INTERVAL_S) as load:
        for number in range(rounds):
            lost_at = time.monotonic()
            lost = next_to_replace(fleet, remaining, count, number % 2 == 0)
            fleet.lose(*lost)
            time.sleep(NEWCOMER_S)
            for host in lost:
                fleet.start_newcomer(host)
            time.sleep(max(0, lost_at + INTERVAL_S - time.monotonic()))
            fleet.check_voters(f"{INTERVAL_S} s after loss {number + 1}")
    check_after_restart_of_all(fleet, load.changer.acknowledged)
    fleet.check()


def test_no_host_begins_with_an_older_configuration(system):
    """Guards against names that are refused after a restart of all, by what a
    control member had in its last snapshot."""
    fleet = Fleet(system, losses=1, controls=3)
    for number in range(1, MANY_CHANGES + 1):
        status, answer = fleet.entries[0].statement(
            f"set group {GROUP} {OPTION} = {FIRST_VALUE + number}", f"many-{number}")
        assert status == 200, answer
    running = fleet.entries + fleet.controls()
    seeds = fleet.seeds()
    fleet.seeds = lambda: seeds
    for host in running:
        host.kill()
    for host in running:
        host.start()
    view = Changer(fleet)  # never started: only looks
    waiting = list(fleet.entries)
    end = time.monotonic() + RESTART_S
    while waiting and time.monotonic() < end:
        for host in list(waiting):
            newest = view.newest_at(host)
            if newest == MANY_CHANGES:
                waiting.remove(host)
            elif newest:
                fleet.violated(f"{host.name} begins with change {newest}")
    for host in waiting:
        fleet.violated(f"{host.name} has no configuration after {RESTART_S} s")
    fleet.check()


def test_every_control_host_is_replaced_in_turn(system):
    replace_all(system, losses=1, controls=4, count=1)


def test_every_control_host_is_replaced_two_at_once(system):
    replace_all(system, losses=2, controls=6, count=2)


def test_voter_lost_for_good_then_another_disk_wiped(system):
    """No newcomer comes, but a control host that never voted is alive."""
    fleet = Fleet(system, losses=1, controls=4)
    with UnderLoad(fleet, 20):
        voters = fleet.voters()
        lost = fleet.leader()
        wiped = next(each for each in voters if each is not lost)
        fleet.lose(lost)
        time.sleep(INTERVAL_S)
        fleet.check_voters(f"{INTERVAL_S} s after the loss")
        wiped.kill()
        wiped.delete_data()
        time.sleep(1)
        wiped.start()
        fleet.note(f"{wiped.name} starts again without its disk")
        time.sleep(INTERVAL_S)
        fleet.check_voters(f"{INTERVAL_S} s after the wiped disk")
    fleet.check()


NEWCOMER_STOPS = (
    # from the proposal of a change of members to the stop, whether the leader is lost
    (0.0, False),
    (0.3, True),
    (0.8, False),
)


def count_proposals(fleet):
    return sum(each.log().count("event=members-change-proposed")
               for each in fleet.controls())


def newcomer_stops(system, delay, lose_leader):
    fleet = Fleet(system, losses=1, controls=3)
    fleet.note(f"newcomer stops {delay} s after the proposal")
    with UnderLoad(fleet, 14):
        leader = fleet.leader()
        lost = next(each for each in fleet.voters()
                    if (each is leader) == lose_leader)
        fleet.lose(lost)
        # The voter counts as lost before the newcomer comes, so that the leader
        # takes one step of the plan right after the other.
        time.sleep(2 * NEWCOMER_S)
        before = count_proposals(fleet)
        newcomer = fleet.start_newcomer(lost)
        wait_until(lambda: count_proposals(fleet) > before, 5,
                   "a leader proposes a change of members")
        time.sleep(delay)
        fleet.lose(newcomer)
        time.sleep(INTERVAL_S)
    fleet.check()


def test_newcomer_stops_a_moment_later(_):
    for delay, lose_leader in NEWCOMER_STOPS:
        with System() as system:
            newcomer_stops(system, delay, lose_leader)


def stop_for_good(fleet, host):
    fleet.note(f"{host.name} is stopped for good")
    host.signal(signal.SIGTERM)
    try:
        wait_until(lambda: not host.running(), STOP_S, f"{host.name} ends")
    except ConditionTimeout as error:
        fleet.violated(str(error))
        host.kill()
    if host.handle.returncode != 0:
        fleet.violated(f"{host.name} ended with {host.handle.returncode}")


def test_every_control_host_is_replaced_as_planned(system):
    """The new host starts before the old one is stopped."""
    fleet = Fleet(system, losses=1, controls=4)
    remaining = fleet.controls()
    rounds = len(remaining)
    with UnderLoad(fleet, 4 + rounds * (INTERVAL_S + NEWCOMER_S)) as load:
        for number in range(rounds):
            old = next_to_replace(fleet, remaining, 1, number % 2 == 0)[0]
            fleet.start_newcomer(old)
            time.sleep(NEWCOMER_S)
            stopped_at = time.monotonic()
            stop_for_good(fleet, old)
            time.sleep(max(0, stopped_at + INTERVAL_S - time.monotonic()))
            fleet.check_voters(f"{INTERVAL_S} s after stop {number + 1}")
    check_after_restart_of_all(fleet, load.changer.acknowledged)
    fleet.check()


CATCH_UP_S = 4.0  # a host that starts empty counts as lost for this time
DOWN_S = 1.0  # of a host that loses its disk
LEADER_S = 12.0  # from the return of the last host to a leader
FREEZE_S = 4.0


def wipe(fleet, host):
    """The host loses its disk and is back a moment later."""
    host.kill()
    host.delete_data()
    fleet.note(f"{host.name} loses its disk")
    time.sleep(DOWN_S)
    host.start()


def check_leader_returns(fleet):
    """Changes go on beside; the leader that is known at first may be a former one."""
    time.sleep(INTERVAL_S)
    fleet.check_within(fleet.leader, LEADER_S, "a leader is known")
    fleet.check_within(lambda: len(fleet.voters()) == fleet.voter_count, LEADER_S,
                       "the wanted number of voters is there")


def other_voter(fleet, *excluded):
    return next(each for each in fleet.voters() if each not in excluded)


def test_disk_lost_right_after_a_planned_replacement(system):
    """Guards against a vote that goes with a host that stops as planned, although
    its successor is ready (issue 54)."""
    fleet = Fleet(system, losses=1, controls=3)
    with UnderLoad(fleet, 24):
        old = fleet.voters()[0]
        newcomer = fleet.start_newcomer(old)
        time.sleep(CATCH_UP_S)
        stop_for_good(fleet, old)
        wipe(fleet, other_voter(fleet, old, newcomer))
        check_leader_returns(fleet)
    fleet.check()


REMOVAL_NOTICED_S = 1.6  # a voter that is gone without a word is replaced


def test_disk_lost_after_a_removal_without_a_word(system):
    """Guards against a successor that waits although it is ready (issue 54)."""
    fleet = Fleet(system, losses=1, controls=3)
    with UnderLoad(fleet, 24):
        old = fleet.voters()[0]
        newcomer = fleet.start_newcomer(old)
        time.sleep(CATCH_UP_S)
        fleet.lose(old)
        time.sleep(REMOVAL_NOTICED_S)
        wipe(fleet, other_voter(fleet, old, newcomer))
        check_leader_returns(fleet)
    fleet.check()


def disk_lost_beside_a_frozen_voter(system, delay):
    fleet = Fleet(system, losses=1, controls=4)
    fleet.note(f"a disk is lost {delay} s after a voter freezes")
    with UnderLoad(fleet, 20):
        leader = fleet.leader()
        frozen = other_voter(fleet, leader)
        wiped = other_voter(fleet, leader, frozen)
        began = time.monotonic()
        frozen.signal(signal.SIGSTOP)
        time.sleep(delay)
        wipe(fleet, wiped)
        time.sleep(max(0, began + FREEZE_S - time.monotonic()))
        frozen.signal(signal.SIGCONT)
        check_leader_returns(fleet)
    fleet.check()


def test_disk_lost_beside_a_frozen_voter(_):
    """Guards against a group that waits for the vote of a blank member, which only
    that group can readmit (issue 54)."""
    for delay in (0.5, 0.65, 2.5):
        with System() as system:
            disk_lost_beside_a_frozen_voter(system, delay)


if __name__ == "__main__":
    sys.exit(run_named(globals()))
