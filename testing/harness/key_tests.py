"""Process tests of request keys: a request resent with its key runs only once.

    key_tests.py NAME     runs one test
    key_tests.py --list   lists the tests
"""

import sys
import threading
import time

from process_tests import GROUP, primary_of, run_named, started
from system import run_sql, wait_until

OPTIONS = "request_keys = 'wigeonlb_request'"
KEY_TABLE = ("CREATE TABLE wigeonlb_request (request_key text PRIMARY KEY,"
             " statement_hash text NOT NULL, command_tag text NOT NULL,"
             " created_at bigint NOT NULL)")
CALLERS = 8


def set_up(system, options=OPTIONS):
    """Starts three hosts, creates the tables and waits until every host applies
    the group's options."""
    hosts = started(system)
    for text in (KEY_TABLE, "CREATE TABLE booking (n integer)"):
        assert run_sql(hosts[0].caller, GROUP, text).returncode == 0
    status, answer = hosts[0].statement(f"set group {GROUP} {options}")
    assert status == 200, answer
    for host in hosts:
        wait_until(lambda: run_sql(host.caller, GROUP, *keyed("first", 0))
                   .returncode == 0, 10, f"{host.name} accepts request keys")
    return hosts


def keyed(key, *numbers):
    """Statements that insert the bookings under a request key: one booking as a
    single statement, several as a transaction."""
    inserts = [f"INSERT INTO booking VALUES ({n})" for n in numbers]
    if len(inserts) > 1:
        inserts = ["BEGIN", *inserts, "COMMIT"]
    return [f"SET wigeonlb.request_key = '{key}'", *inserts]


def is_done(answer):
    """Whether the request was acknowledged, now or by an earlier run (WL001)."""
    return answer.returncode == 0 or "WL001" in answer.stderr


def count_rows(host):
    """Number of rows of each booking, read through the host."""
    answer = run_sql(host.caller, GROUP,
                     "SELECT n, count(*) FROM booking GROUP BY n")
    assert answer.returncode == 0, answer
    return {int(n): int(count) for n, count in
            (each.split("|") for each in answer.stdout.split())}


def test_keys_without_the_option(system):
    host = started(system)[0]
    answer = run_sql(host.caller, GROUP, *keyed("k", 1))
    assert "22023" in answer.stderr, answer
    assert "request_keys is off" in answer.stderr, answer


def test_key_of_another_statement(system):
    hosts = set_up(system)
    first = run_sql(hosts[0].caller, GROUP, *keyed("k", 1), header=True)
    assert first.returncode == 0, first
    again = run_sql(hosts[1].caller, GROUP, *keyed("k", 1))
    assert again.returncode == 0 and "WL001" in again.stderr, again
    for statements in (keyed("k", 2), keyed("k", 3, 4)):
        other = run_sql(hosts[2].caller, GROUP, *statements)
        assert "WL002" in other.stderr, other
    # A failed statement rolls its key back, so the key can be used again.
    failing = [keyed("f", 5)[0], "INSERT INTO nowhere VALUES (5)"]
    assert "42P01" in run_sql(hosts[0].caller, GROUP, *failing).stderr
    assert run_sql(hosts[1].caller, GROUP, *keyed("f", 5)).returncode == 0
    assert count_rows(hosts[0]) == {0: 1, 1: 1, 5: 1}


def test_keys_expire(system):
    hosts = set_up(system, OPTIONS + ", request_key_age = '1s'")
    count = "SELECT count(*) FROM wigeonlb_request"
    wait_until(lambda: run_sql(hosts[0].caller, GROUP, count).stdout == "0\n",
               20, "expired keys are removed")


def send_until_done(host, statements, failures):
    """Resends a request with its key until its outcome is known."""
    def done():
        answer = run_sql(host().caller, GROUP, *statements,
                         settings=("wigeonlb.deadline=2s",))
        if not is_done(answer):
            failures.append(answer.stderr)
        return is_done(answer)

    wait_until(done, 30, f"outcome known: {statements}")


def run_callers(system, fault):
    """Runs keyed requests during a fault that makes some outcomes unknown, and
    checks that each booking was inserted exactly once."""
    hosts = set_up(system)
    failures = []

    def call(number):
        for step in range(8):
            booking = 100 * number + step
            numbers = (booking,) if step % 2 else (booking, booking + 50)
            statements = keyed(f"k{booking}", *numbers)
            host_index = [step]

            def next_host():
                host_index[0] += 1
                running = [each for each in hosts if each.running()]
                return running[host_index[0] % len(running)]

            # Sends the request concurrently through two hosts, and once more
            # after it has completed.
            both = [threading.Thread(target=send_until_done, args=(
                next_host, statements, failures)) for _ in range(2)]
            for each in both:
                each.start()
            for each in both:
                each.join()
            send_until_done(next_host, statements, failures)

    callers = [threading.Thread(target=call, args=(number,))
               for number in range(1, CALLERS + 1)]
    for each in callers:
        each.start()
    time.sleep(0.2)
    fault(hosts)
    for each in callers:
        each.join()
    rows = count_rows(next(each for each in hosts if each.running()))
    unknown = sum("08007" in each or "server closed" in each
                  for each in failures)
    print({"bookings": len(rows), "resent after a failure": len(failures),
           "of these with an unknown outcome": unknown}, flush=True)
    assert len(rows) == 1 + CALLERS * 12, rows
    doubled = {n: count for n, count in rows.items() if count != 1}
    assert not doubled, f"bookings not inserted exactly once: {doubled}"
    assert unknown > 0, f"no request had an unknown outcome: {failures}"


def stop_log_shipping(system, seconds):
    """Stops replication from the primary, so that writes get no majority and
    their outcomes are unknown. Returns the primary after the given time."""
    primary = primary_of(system)
    primary.set("ship", "off")
    time.sleep(seconds)
    return primary


def test_sent_again_after_replicas_stood_still(system):
    """Outcomes are unknown to the callers, but the writes persist."""
    def fault(_hosts):
        stop_log_shipping(system, 3).set("ship", "on")

    run_callers(system, fault)


def test_sent_again_after_the_primary_is_killed(system):
    """Outcomes are unknown, and unreplicated writes are lost with the primary."""
    def fault(_hosts):
        stop_log_shipping(system, 0.5).kill()

    run_callers(system, fault)


def test_sent_again_after_a_host_is_killed(system):
    """The host that received the requests is lost with its state of them."""
    def fault(hosts):
        primary = stop_log_shipping(system, 0.5)
        hosts[0].kill()
        primary.set("ship", "on")

    run_callers(system, fault)


if __name__ == "__main__":
    sys.exit(run_named(globals()))
