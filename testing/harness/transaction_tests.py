"""Process tests of transactions whose entry host and owner lose touch.

    transaction_tests.py NAME     runs one test
    transaction_tests.py --list   lists the tests
"""

import sys
import time

from process_tests import (
    FAILOVER_BOUND_S, GROUP, primary_of, run_named, started, try_write)
from session_tests import Caller
from system import wait_until

#: Longer than a link takes to be lost, shorter than until hosts count as dead.
SHORT_CUT_S = 1.1


def owners_and_entry(system, hosts):
    """The group's owners, and a host that is none of them."""
    def owners():
        row = hosts[0].rows(f"show groups where name = '{GROUP}'")[0]
        return [system.hosts[name] for name in row["owners"].split()]
    wait_until(lambda: 0 < len(owners()) < len(hosts), 10, "owners are chosen")
    return owners(), next(each for each in hosts if each not in owners())


def begin_held_back(system, owners, entry, caller):
    """A BEGIN that a cut holds back reaches owners after its entry host has given
    it up. Returns what the caller got."""
    cut_at = time.monotonic()
    system.cut([entry], owners, one_way=True)
    caller.send("BEGIN")
    time.sleep(max(0.0, cut_at + SHORT_CUT_S - time.monotonic()))
    system.heal()
    return caller.result()


def open_transactions(hosts):
    return sum(
        float(row["value"]) for host in hosts for row in host.rows("show metrics")
        if row["name"] == "wigeonlb_owner_open_transactions")


def started_with_caller(system):
    """Starts six hosts; returns the group's owners, a host that is none of them,
    and a caller there, whose row 1 is in table `kept`."""
    hosts = started(system, hosts=6)
    owners, entry = owners_and_entry(system, hosts)
    assert try_write(entry, "CREATE TABLE kept (n integer)")
    caller = Caller(entry)
    assert caller.run("INSERT INTO kept VALUES (1)") == "00000"
    return owners, entry, caller


def test_write_inside_a_transaction_given_up(system):
    owners, entry, caller = started_with_caller(system)
    begun = begin_held_back(system, owners, entry, caller)
    ended = caller.run("ROLLBACK")
    time.sleep(0.5)
    assert caller.run("INSERT INTO kept VALUES (2)") == "00000", (begun, ended)
    rows = primary_of(system).sql("SELECT n FROM kept")
    assert rows == ["1", "2"], (rows, begun, ended)
    caller.close()


def test_transaction_given_up_stays_open_at_its_owner(system):
    owners, entry, caller = started_with_caller(system)
    begin_held_back(system, owners, entry, caller)
    caller.run("ROLLBACK")
    time.sleep(0.5)
    wait_until(lambda: open_transactions(owners) == 0, FAILOVER_BOUND_S,
               "owners have rolled back what the entry host has given up")
    caller.close()


if __name__ == "__main__":
    sys.exit(run_named(globals(), relayed=True))
