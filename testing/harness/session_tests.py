"""Process tests of sessions that a lost host or caller leaves open at a target.

    session_tests.py NAME     runs one test
    session_tests.py --list   lists the tests
"""

import subprocess
import sys
import time

from process_tests import (
    FAILOVER_BOUND_S, GROUP, leader_of, try_write, primary_of, run_named,
    started, wait_for_write)
from system import run_sql, wait_until


class Caller:
    """A psql session that stays open."""

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
        """The SQLSTATE of the next statement that was sent."""
        return self.handle.stdout.readline().strip()

    def run(self, statement):
        self.send(statement)
        return self.result()

    def close(self):
        self.handle.kill()
        self.handle.communicate(timeout=10)


class OpenTransaction(Caller):
    """A caller whose transaction has written a row and stays open."""

    def __init__(self, host, table):
        assert try_write(host, f"CREATE TABLE {table} (n integer)")
        super().__init__(host)
        assert self.run("BEGIN") == "00000"
        assert self.run(f"INSERT INTO {table} VALUES (1)") == "00000"


def test_host_killed_inside_a_transaction(system):
    hosts = started(system)
    transaction = OpenTransaction(hosts[0], "cut")
    hosts[0].kill()
    transaction.close()
    wait_until(lambda: try_write(hosts[1], "INSERT INTO cut VALUES (2)"),
               FAILOVER_BOUND_S, "the table lock and the slot are released")
    answer = run_sql(hosts[1].caller, GROUP, "SELECT n FROM cut",
                     settings=["wigeonlb.max_age=0s"])
    rows = primary_of(system, hosts[1:]).sql("SELECT n FROM cut")
    assert rows == ["2"], (rows, answer.stdout)


def check_lock_released(system, hosts, table):
    """Checks that writes succeed again and that the open transaction was rolled
    back."""
    wait_until(lambda: try_write(hosts[0], f"INSERT INTO {table} VALUES (2)"),
               FAILOVER_BOUND_S, "a write succeeds")
    rows = primary_of(system, hosts).sql(f"SELECT DISTINCT n FROM {table}")
    assert rows == ["2"], rows


def test_owner_frozen_inside_a_transaction(system):
    """The transactions of a frozen owner are terminated at the target."""
    hosts = started(system)
    leader = leader_of(system)
    frozen = next(each for each in hosts if each is not leader)
    transaction = OpenTransaction(frozen, "held")
    frozen.freeze()
    others = [each for each in hosts if each is not frozen]
    check_lock_released(system, others, "held")
    # Transactions that it opens after it resumes must not be terminated.
    frozen.thaw()
    transaction.close()
    wait_for_write(frozen)
    transaction = OpenTransaction(frozen, "again")
    time.sleep(4)
    assert transaction.run("COMMIT") == "00000"
    transaction.close()


def test_connection_silent_inside_a_transaction(system):
    hosts = started(system)
    transaction = OpenTransaction(hosts[0], "mute")
    primary_of(system).set("silent", "on")
    transaction.send("COMMIT")
    check_lock_released(system, hosts[1:], "mute")
    transaction.close()


if __name__ == "__main__":
    sys.exit(run_named(globals()))
