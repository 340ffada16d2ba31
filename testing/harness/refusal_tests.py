"""Process tests of names that a host does not know: it may refuse one as unknown
only by what a leader has confirmed a moment before.

    refusal_tests.py NAME     runs one test
    refusal_tests.py --list   lists the tests
"""

import os
import random
import socket
import struct
import sys
import threading
import time

from process_tests import GROUP, run_named
from replacement_tests import Fleet
from system import wait_until

IN_FORCE_S = 3.0  # from an acknowledgement until every host applies the change
STOPPED_S = IN_FORCE_S + 0.3
WATCHED_S = 2.0  # for which callers connect to a host that has just gone on
UNKNOWN, NOT_RUN = "3D000", "57P03"
NEW_GROUP = "late-db/1"
TROUBLE_S = 30.0
SEED = int(os.environ.get("WIGEONLB_SEED", "1"))


class Attempt:
    """A caller that connects to a database; result() is the SQLSTATE of the refusal,
    empty if the host accepts the session, None without an answer."""

    def __init__(self, host, database):
        self.socket = socket.create_connection(("127.0.0.1", host.caller), 10)
        self.socket.settimeout(10)
        fields = f"user\0demo\0database\0{database}\0\0".encode()
        self.socket.sendall(struct.pack("!ii", len(fields) + 8, 196608) + fields)

    def result(self):
        try:
            data = self.socket.recv(65536)
        except OSError:
            return None
        finally:
            self.socket.close()
        if not data:
            return None
        if data[:1] != b"E":
            return ""
        fields = data[5:].split(b"\0")
        return next(each[1:].decode() for each in fields if each[:1] == b"C")


def connect(host, database):
    try:
        return Attempt(host, database).result()
    except OSError:
        return None


def add_route(fleet, host):
    """Adds a group, and with it the database of its name."""
    text = f"create group {NEW_GROUP} with dialect = 'standin'"
    wait_until(lambda: host.statement(text, "late-1")[0] == 200, 10,
               f"{NEW_GROUP} is acknowledged")
    fleet.note(f"{NEW_GROUP} is acknowledged")


def stop_while_a_route_is_added(fleet, host):
    """Callers that connect meanwhile wait in the host's socket. Returns them."""
    host.freeze()
    others = [each for each in fleet.entries if each is not host]
    add_route(fleet, others[0])
    acknowledged = time.monotonic()
    time.sleep(STOPPED_S)
    waiting = [Attempt(host, NEW_GROUP) for _ in range(5)]
    assert time.monotonic() - acknowledged > IN_FORCE_S
    return waiting


def watch(host, waiting):
    """The results of the callers that wait and of those that connect for a while."""
    end = time.monotonic() + WATCHED_S
    results = [each.result() for each in waiting]
    while time.monotonic() < end:
        results.append(connect(host, NEW_GROUP))
        time.sleep(0.005)
    return results


def check_not_unknown(fleet, host, results):
    refused = results.count(UNKNOWN)
    fleet.note(f"{host.name}: {len(results)} attempts, {refused} refused as unknown,"
               f" {results.count(NOT_RUN)} not run, {results.count('')} accepted")
    if refused:
        fleet.violated(f"{host.name} refused an acknowledged route {refused} times")


def test_name_refused_after_standing_still(system):
    """Guards against the refusal of a route that was added while a host stood still."""
    fleet = Fleet(system, losses=1, controls=3)
    for host in fleet.entries:
        wait_until(lambda: connect(host, "no-such-db") == UNKNOWN, 10,
                   f"{host.name} refuses a name that does not exist")
    host = fleet.entries[-1]
    waiting = stop_while_a_route_is_added(fleet, host)
    host.thaw()
    check_not_unknown(fleet, host, watch(host, waiting))
    wait_until(lambda: connect(host, NEW_GROUP) == "", IN_FORCE_S,
               f"{host.name} accepts the new route")
    fleet.check()


def test_name_refused_without_a_leader(system):
    """Guards against the same for as long as the host hears no leader."""
    fleet = Fleet(system, losses=1, controls=3)
    host = fleet.entries[-1]
    waiting = stop_while_a_route_is_added(fleet, host)
    controls = fleet.controls()
    for each in controls:
        each.freeze()
    host.thaw()
    check_not_unknown(fleet, host, watch(host, waiting))
    if connect(host, GROUP) != "":
        fleet.violated(f"{host.name} refuses a name that it knows")
    for each in controls:
        each.thaw()
    wait_until(lambda: connect(host, NEW_GROUP) == "", 10,
               f"{host.name} accepts the new route")
    wait_until(lambda: connect(host, "no-such-db") == UNKNOWN, 10,
               f"{host.name} refuses a name that does not exist")
    fleet.check()


class Routes(threading.Thread):
    """Adds a route about every second, by any host that answers."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.stopping = threading.Event()
        self.acknowledged = []  # (name, time)
        self.start()

    def run(self):
        number = 0
        while not self.stopping.wait(0.7):
            number += 1
            self.add(f"route-db/{number}", number)

    def add(self, name, number):
        text = f"create group {name} with dialect = 'standin'"
        attempt = 0
        while not self.stopping.is_set():
            host = self.fleet.entries[(number + attempt) % len(self.fleet.entries)]
            attempt += 1
            status, _ = host.statement(text, f"add-{number}", timeout=1)
            if status == 200:
                self.acknowledged.append((name, time.monotonic()))
                return

    def in_force(self):
        """The names that each host has to know by now."""
        now = time.monotonic()
        return [name for name, at in list(self.acknowledged) if now - at > IN_FORCE_S]


class Asker(threading.Thread):
    """Connects to one host with names that it has to know; counts the results."""

    def __init__(self, routes, host):
        super().__init__(daemon=True)
        self.routes = routes
        self.host = host
        self.results = []
        self.stopping = threading.Event()
        self.start()

    def run(self):
        while not self.stopping.wait(0.01):
            names = self.routes.in_force()
            if names:
                self.results.append(connect(self.host, names[-1]))


def disturb(fleet, chance):
    """Kills or stops one host for a while, and waits for some time."""
    host = chance.choice(fleet.entries + fleet.controls())
    seconds = chance.uniform(0.3, 4.0)
    if chance.random() < 0.3:
        fleet.note(f"{host.name} is killed")
        host.kill()
        time.sleep(min(seconds, 1.0))
        host.start()
    else:
        fleet.note(f"{host.name} stands still for {seconds:.1f} s")
        host.freeze()
        time.sleep(seconds)
        host.thaw()
    time.sleep(chance.uniform(0.0, 2.0))


def test_names_refused_under_kills_and_pauses(system):
    """Guards against an acknowledged route that any host refuses as unknown."""
    fleet = Fleet(system, losses=1, controls=3)
    chance = random.Random(SEED)
    seeds = fleet.seeds()
    fleet.seeds = lambda: seeds
    routes = Routes(fleet)
    askers = [Asker(routes, host) for host in fleet.entries]
    end = time.monotonic() + TROUBLE_S
    while time.monotonic() < end:
        disturb(fleet, chance)
    routes.stopping.set()
    routes.join()
    time.sleep(IN_FORCE_S)
    for asker in askers:
        asker.stopping.set()
        asker.join()
        check_not_unknown(fleet, asker.host, asker.results)
        if "" not in asker.results:
            fleet.violated(f"{asker.host.name} accepted no session")
    fleet.note(f"{len(routes.acknowledged)} routes")
    for host in fleet.entries:
        wait_until(lambda: connect(host, "no-such-db") == UNKNOWN, 10,
                   f"{host.name} refuses a name that does not exist")
        for name, _ in routes.acknowledged:
            if connect(host, name) != "":
                fleet.violated(f"{host.name} lacks {name} at the end")
    fleet.check()


if __name__ == "__main__":
    sys.exit(run_named(globals()))
