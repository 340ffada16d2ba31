"""Process tests of the control members and the operator statements they serve.

    control_tests.py NAME     runs one test
    control_tests.py --list   lists the tests
"""

import sys
import threading
import time

from process_tests import (GROUP, Load, check_gap, leader_of, primary_of,
                           run_named, started, wait_for_write)
from system import wait_until


def config_value(host, key):
    rows = host.rows(f"show config where key = '{key}'")
    return rows[0]["value"] if rows else None


def test_control_leader_killed(system):
    started(system)
    load = Load(system, 6)
    time.sleep(1.5)
    leader = leader_of(system)
    leader.kill()
    others = [each for each in system.hosts.values() if each.running()]
    wait_until(lambda: system.leader() not in (None, leader), 5, "a new leader")
    load.finish()
    for host in others:
        wait_for_write(host)


def test_control_leader_frozen_past_its_lease(system):
    started(system)
    leader = leader_of(system)
    load = Load(system, 7, hosts=[each for each in system.hosts.values()
                                  if each is not leader])
    time.sleep(1)
    leader.freeze()
    time.sleep(2.5)
    primary = primary_of(system, [each for each in system.hosts.values()
                                  if each is not leader])
    primary.kill()
    time.sleep(1.5)
    leader.thaw()
    check_gap(load.finish())
    wait_for_write(leader)


def test_every_host_restarts_at_once(system):
    hosts = started(system)
    host = hosts[0]
    for number in range(200):
        status, answer = host.statement(
            f"set group {GROUP} max_age = '{number + 1}s'", f"many-{number}")
        assert status == 200, answer
    for each in hosts:
        each.kill()
    for each in hosts:
        each.start()
    for each in hosts:
        wait_until(
            lambda: (each.rows(f"show groups where name = '{GROUP}'")
                     or [{}])[0].get("max_age") == "200s",
            10, f"{each.name} has the current configuration")
        wait_for_write(each, 10)


def test_member_loses_its_data_folder(system):
    hosts = started(system)
    lost = next(each for each in hosts if each is not leader_of(system))
    lost.kill()
    lost.delete_data()
    status, answer = leader_of(system).statement(
        f"set group {GROUP} max_age = '7s'", "while-lost")
    assert status == 200, answer
    lost.start()
    wait_until(
        lambda: (lost.rows(f"show groups where name = '{GROUP}'")
                 or [{}])[0].get("max_age") == "7s",
        10, "the member has recovered the current configuration")
    wait_for_write(lost)


def test_any_host_answers_for_leader_and_owners(system):
    hosts = started(system, hosts=4)
    primary_of(system).kill()
    wait_for_write(hosts[0])
    leader = leader_of(system)

    def decisions():
        return [[row["decision"] for row in each.rows(f"show why group {GROUP}")]
                for each in hosts]

    wait_until(lambda: len(set(map(tuple, decisions()))) == 1, 5,
               "every host shows the same decisions")
    assert any("choose" in text for text in decisions()[0]), decisions()[0]
    for each in hosts:
        wait_until(lambda: config_value(each, "hosts_in_force") == "4 of 4",
                   5, f"{each.name} shows the configuration in force on 4 of 4 hosts")
    for each in hosts:
        rows = each.rows(f"explain read {GROUP} floor 1/0")
        assert {"b", "c"} <= {row["target"] for row in rows}, rows
    leader.freeze()
    for each in hosts:
        if each is not leader:
            status, answer = each.statement(f"show why group {GROUP}")
            assert status == 200, answer
    leader.thaw()


def test_two_operators_race(system):
    hosts = started(system)
    revision = hosts[0].rows("show config where key = 'revision'")[0]["value"]
    texts = [f"set group {GROUP} max_age = '{age}s' if revision {revision}"
             for age in (11, 22)]
    answers = [None, None]

    def change(number):
        answers[number] = hosts[number].statement(
            texts[number], f"race-{number}")

    threads = [threading.Thread(target=change, args=(each,)) for each in (0, 1)]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    statuses = sorted(each[0] for each in answers)
    assert statuses == [200, 409], answers
    for number in (0, 1):
        again = hosts[2].statement(texts[number], f"race-{number}")
        assert again[0] == answers[number][0], (again, answers[number])


if __name__ == "__main__":
    sys.exit(run_named(globals()))
