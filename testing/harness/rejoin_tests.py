"""Process tests of hosts whose settings name control hosts that are gone: they find
the present ones as long as any host in reach knows them.

    rejoin_tests.py NAME     runs one test
    rejoin_tests.py --list   lists the tests
"""

import sys
import time

from process_tests import run_named
from refusal_tests import IN_FORCE_S, NEW_GROUP, UNKNOWN, add_route, connect
from replacement_tests import INTERVAL_S, NEWCOMER_S, RESTART_S, Fleet
from system import System

ROLES = (
    # of the control host that stands still while all others are replaced
    "learner",
    "voter",
)


def replace(fleet, *lost):
    """Replaces control hosts one after the other."""
    for host in lost:
        lost_at = time.monotonic()
        fleet.lose(host)
        time.sleep(NEWCOMER_S)
        fleet.start_newcomer(host)
        time.sleep(max(0, lost_at + INTERVAL_S - time.monotonic()))
        fleet.check_voters(f"{INTERVAL_S} s after {host.name} was lost")


def shown_leader(host):
    rows = host.rows("show config where key = 'leader'")
    return rows[0]["value"] if rows else ""


def check_served(fleet, host, seconds):
    """The host accepts the route in time, and never refuses it as unknown."""
    results = []

    def accepted():
        results.append(connect(host, NEW_GROUP))
        return results[-1] == ""

    fleet.check_within(accepted, seconds, f"{host.name} accepts the new route")
    if UNKNOWN in results:
        fleet.violated(f"{host.name} refuses the new route as unknown"
                       f" {results.count(UNKNOWN)} times")


def restart_all(fleet, seeds, wiped):
    """All hosts are killed at the same moment and start again with the same settings;
    `wiped` lose their disks."""
    fleet.seeds = lambda: seeds
    running = fleet.entries + fleet.controls()
    for host in running:
        host.kill()
    for host in wiped:
        host.delete_data()
    for host in running:
        host.start()
    fleet.note("all hosts start again, without their disks: "
               + (", ".join(each.name for each in wiped) or "none"))


def test_seeds_replaced_and_the_last_one_wiped(system):
    """Guards against members with whole disks that never meet after a restart."""
    fleet = Fleet(system, losses=1, controls=4)
    first, seeds = fleet.controls(), fleet.seeds()
    replace(fleet, *first[:2])
    add_route(fleet, fleet.entries[0])
    restart_all(fleet, seeds, wiped=[first[2]])
    for host in fleet.entries:
        check_served(fleet, host, RESTART_S)
    fleet.check()


def test_seeds_all_replaced_before_a_restart(system):
    """Guards against the same if no control host that the settings name is left."""
    fleet = Fleet(system, losses=1, controls=4)
    seeds = fleet.seeds()
    replace(fleet, *fleet.controls()[:3])
    add_route(fleet, fleet.entries[0])
    restart_all(fleet, seeds, wiped=[])
    for host in fleet.controls():
        fleet.check_within(lambda: shown_leader(host), RESTART_S,
              f"{host.name} knows a leader")
    fleet.check()


def test_control_hosts_replaced_while_an_entry_host_stands_still(system):
    """Guards against a host that never finds the control hosts that it wasn't told."""
    fleet = Fleet(system, losses=1, controls=4)
    still = fleet.entries[-1]
    still.freeze()
    replace(fleet, *fleet.controls())
    add_route(fleet, fleet.entries[0])
    still.thaw()
    check_served(fleet, still, IN_FORCE_S)
    fleet.check()


def stand_still_while_others_are_replaced(system, role):
    fleet = Fleet(system, losses=1, controls=4)
    voters = fleet.voters()
    still = next(each for each in fleet.controls()
                 if (each in voters) == (role == "voter"))
    fleet.note(f"{still.name} ({role}) stands still")
    still.freeze()
    time.sleep(INTERVAL_S)  # a voter is replaced by the learner
    replace(fleet, *[each for each in fleet.controls() if each is not still])
    add_route(fleet, fleet.entries[0])
    still.thaw()
    leader = fleet.leader().name
    fleet.check_within(lambda: shown_leader(still) == leader, IN_FORCE_S,
          f"{still.name} knows the leader")
    fleet.check()


def test_control_hosts_replaced_while_one_stands_still(_):
    """Guards against a control host that never finds the others again."""
    for role in ROLES:
        with System() as system:
            stand_still_while_others_are_replaced(system, role)


if __name__ == "__main__":
    sys.exit(run_named(globals()))
