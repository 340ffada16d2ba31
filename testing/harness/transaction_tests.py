"""Process tests of transactions whose entry host and owner lose touch.

    transaction_tests.py NAME     runs one test
    transaction_tests.py --list   lists the tests
"""

import subprocess
import sys
import time

from process_tests import (
    FAILOVER_BOUND_S, GROUP, primary_of, run_named, started, try_write)
from system import wait_until

#: Longer than a link takes to be lost, shorter than until hosts count as dead.
SHORT_CUT_S = 1.1


class Caller:
    """A psql session that stays open; each statement returns its SQLSTATE."""

    def __init__(self, host):
        self.handle = subprocess.Popen(
            ["psql", "-X", "-q",
             f"host=127.0.0.1 port={host.caller} dbname={GROUP} user=cut"
             " sslmode=disable"],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL, text=True)

    def send(self, statement):
        self.handle.stdin.write(f"{statement};\n\\echo :SQLSTATE\n")
        self.handle.stdin.flush()

    def result(self):
        return self.handle.stdout.readline().strip()

    def run(self, statement):
        self.send(statement)
        return self.result()

    def close(self):
        self.handle.kill()
        self.handle.communicate(timeout=10)


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


def test_write_inside_a_transaction_given_up(system):
    hosts = started(system, hosts=6)
    owners, entry = owners_and_entry(system, hosts)
    assert try_write(entry, "CREATE TABLE kept (n integer)")
    caller = Caller(entry)
    assert caller.run("INSERT INTO kept VALUES (1)") == "00000"
    begun = begin_held_back(system, owners, entry, caller)
    ended = caller.run("ROLLBACK")
    time.sleep(0.5)
    assert caller.run("INSERT INTO kept VALUES (2)") == "00000", (begun, ended)
    rows = primary_of(system).sql("SELECT n FROM kept")
    assert rows == ["1", "2"], (rows, begun, ended)
    caller.close()


def test_transaction_given_up_stays_open_at_its_owner(system):
    hosts = started(system, hosts=6)
    owners, entry = owners_and_entry(system, hosts)
    assert try_write(entry, "CREATE TABLE kept (n integer)")
    caller = Caller(entry)
    assert caller.run("INSERT INTO kept VALUES (1)") == "00000"
    begin_held_back(system, owners, entry, caller)
    caller.run("ROLLBACK")
    time.sleep(0.5)
    wait_until(lambda: open_transactions(owners) == 0, FAILOVER_BOUND_S,
               "owners have rolled back what the entry host has given up")
    caller.close()


if __name__ == "__main__":
    sys.exit(run_named(globals(), relayed=True))
