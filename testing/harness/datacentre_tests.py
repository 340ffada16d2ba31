"""Process tests of a data centre that is cut off with its control host, one of four,
while routes are added, changed and dropped, and that returns.

    datacentre_tests.py NAME     runs one test
    datacentre_tests.py --list   lists the tests
"""

import sys
import time

from process_tests import GROUP, run_named
from refusal_tests import IN_FORCE_S, NEW_GROUP, UNKNOWN, add_route, connect
from replacement_tests import FIRST_VALUE, OPTION, ZONES, Fleet
from system import System, wait_until

OLD_GROUP = "former-db/1"
CHANGED_VALUE = str(FIRST_VALUE + 1)
CUT_S = (0.5, 5.0)  # a short cut ends before the back-off of hosts is at its longest


def find_control(fleet, role):
    leader, voters = fleet.leader(), fleet.voters()
    if role == "leader":
        return leader
    return next(each for each in fleet.controls() if each is not leader
                and (each in voters) == (role == "voter"))


def submit(fleet, host, text, change_id):
    wait_until(lambda: host.statement(text, change_id, timeout=2)[0] == 200, 15,
               f"'{text}' is acknowledged")
    fleet.note(f"'{text}' is acknowledged")


def change_routes(fleet, host):
    """Adds a route, changes one and drops one."""
    add_route(fleet, host)
    submit(fleet, host, f"set group {GROUP} {OPTION} = {CHANGED_VALUE}", "changed")
    submit(fleet, host, f"drop group {OLD_GROUP}", "dropped")


def shown_value(host):
    rows = host.rows(f"show config where key = '{OPTION}'")
    return rows[0]["value"] if rows else ""


def check_newest(fleet, host, since):
    """The host has all changes in time after the cut has ended."""
    def left():
        return max(0.0, since + IN_FORCE_S - time.monotonic())
    fleet.check_within(lambda: connect(host, NEW_GROUP) == "", left(),
          f"{host.name} accepts the new route")
    fleet.check_within(lambda: connect(host, OLD_GROUP) == UNKNOWN, left(),
          f"{host.name} refuses the dropped route")
    fleet.check_within(lambda: shown_value(host) == CHANGED_VALUE, left(),
          f"{host.name} applies the changed option")
    fleet.note(f"{host.name}: {time.monotonic() - since:.2f} s after the cut")


def cut_off(system, role, seconds):
    fleet = Fleet(system, losses=1, controls=4, entry_zones=ZONES)
    submit(fleet, fleet.entries[0],
           f"create group {OLD_GROUP} with dialect = 'standin'", "former")
    for host in fleet.entries:
        wait_until(lambda: connect(host, OLD_GROUP) == "", 10,
                   f"{host.name} accepts the route that will be dropped")
    zone = find_control(fleet, role).data_centre
    inside = [each for each in fleet.entries if each.data_centre == zone]
    outside = next(each for each in fleet.entries if each not in inside)
    fleet.note(f"{zone} (its control host: {role}) is cut off")
    system.cut([zone])
    cut_at = time.monotonic()
    change_routes(fleet, outside)
    time.sleep(max(0.0, cut_at + seconds - time.monotonic()))
    for host in inside:
        assert connect(host, NEW_GROUP) != "", f"{host.name} isn't cut off"
    system.heal()
    healed = time.monotonic()
    fleet.note(f"the cut ends after {healed - cut_at:.1f} s")
    for host in inside:
        check_newest(fleet, host, healed)
    fleet.check()


def cut_off_each(role):
    for seconds in CUT_S:
        with System(relayed=True) as system:
            cut_off(system, role, seconds)


def test_data_centre_of_the_learner_cut_off(_):
    """Guards against hosts that stay behind after a cut."""
    cut_off_each("learner")


def test_data_centre_of_a_voter_cut_off(_):
    """Guards against hosts that stay behind when the cut takes a voter."""
    cut_off_each("voter")


def test_data_centre_of_the_leader_cut_off(_):
    """Guards against the same when the cut takes the leader."""
    cut_off_each("leader")


if __name__ == "__main__":
    sys.exit(run_named(globals()))
