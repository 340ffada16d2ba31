"""A service with sync_replicas 1: one replica is replaced (`release`) while the
other one receives nothing, and the primary crashes (`replica_lag`). Checks that
each acknowledged commit is in the log of the server that is promoted."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2 import (CannotRun, Client, Database, FRONT_PORT, Operator, Platform,
                       Record, SERVER_PORT, Server, System)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

DRAIN_S = 7.0  # drain_ms of the small deployments
DEAF_BEFORE_END_S = 2.5  # the other replica receives nothing from here on
DEAF_S = 6.5  # as long as replica_lag lasts at most on the small site
CRASH_AFTER_END_S = 0.7  # the primary crashes this long after the replica has ended
PRIMARY_DOWN_S = 7.0  # as long as srv_crash of a primary lasts on the small site
SUCCESSOR_AFTER_END_S = 2.0  # the new server at the address of the one that ended
WRITERS = 4
QUIET_S = 6.0  # of writes without a disruption, first


async def write_always(system, record, number, acknowledged, stop):
    """Writes one commit after another; keeps the ids of those that are done."""
    count = 0
    while not stop.is_set():
        front = system.fronts[number % len(system.fronts)]
        client = Client(record, f"w{number}", f"{front.ip}:{FRONT_PORT}", "badges")
        try:
            await client.open()
            while not stop.is_set():
                count += 1
                request, outcome, detail, state = await client.query(
                    f"WRITE i{number} d{number}-{count}")
                record.write(f"w{number}: WRITE {request}: {outcome} {detail[:60]}")
                if outcome == "done" and detail != "-":
                    acknowledged[request] = record.now()
                if outcome == "lost" or state != "I":
                    break
                await asyncio.sleep(0.05)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.2)
        finally:
            client.close()


async def release_with_crash(system, database, record, primary, leaving, other):
    leaving.state = "draining"
    record.write(f"{leaving.id} drains")
    while leaving.acknowledged_draining is None:
        await asyncio.sleep(0.05)
    await asyncio.sleep(DRAIN_S - DEAF_BEFORE_END_S)
    other.deaf = True
    record.write(f"{other.id} receives nothing from position {other.position()} on")
    deaf_until = time.monotonic() + DEAF_S
    await asyncio.sleep(DEAF_BEFORE_END_S)
    await leaving.leave()
    ended = time.monotonic()
    await asyncio.sleep(CRASH_AFTER_END_S)
    primary.crash("crashes")
    crashed = time.monotonic()
    await asyncio.sleep(ended + SUCCESSOR_AFTER_END_S - time.monotonic())
    successor = Server(database, "i-4new", leaving.address, leaving.zone, "replica",
                       system, log=leaving.log)
    successor.term = leaving.term
    await successor.start()
    await asyncio.sleep(deaf_until - time.monotonic())
    other.deaf = False
    record.write(f"{other.id} receives again")
    await asyncio.sleep(max(0.0, crashed + PRIMARY_DOWN_S - time.monotonic()))
    primary.born = int(time.time() * 1000)
    primary.sequence = 0
    if database.primary() is not primary:
        primary.role = "replica"
    await primary.start()


def check(database, record, acknowledged, before):
    """Returns the commits that were acknowledged before a promotion, and are not
    in the log of the promoted server."""
    lost = []
    for server, log in database.promotions:
        held = {entry[2] for entry in log}
        missing = [request for request in acknowledged
                   if acknowledged[request] <= before and request not in held]
        record.write(f"check: {server.id} was promoted with {len(log)} commits; "
                     f"{len(missing)} of {len(acknowledged)} acknowledged ones miss")
        lost += missing
        break  # later ones build on the first
    return lost


async def run(record):
    system = System(record)
    database = Database(record, "huvo11a", sync_replicas=1)
    platform = Platform(record, system.network, [database])
    operator = Operator(system, record)
    zones = ("centro-a", "centro-b", "centro-c")
    servers = [Server(database, f"i-{index + 1}",
                      f"{system.network.ip(31 + index)}:{SERVER_PORT}", zones[index],
                      "primary" if index == 0 else "replica", system)
               for index in range(3)]
    primary, leaving, other = servers
    stop = asyncio.Event()
    acknowledged, tasks = {}, []
    try:
        await platform.start()
        system.start()
        for server in servers:
            await server.start()
        document = {
            "version": 1,
            "routes": [{"name": "r-1", "database": "badges", "path_prefix": "/",
                        "route_type": "primary", "timeout_ms": 1000,
                        "target_latency_ms": 200, "priority": 1,
                        "service": "huvo11a", "max_attempts": 2}],
            "services": [{"name": "huvo11a", "health_path": "/health",
                          "max_conns": 22, "protocol": "h1", "tls": False,
                          "sync_replicas": 1}],
            "limits": {"tx_idle_ms": 3000}}
        if not await operator.put(document, 20):
            raise CannotRun("the configuration was not acknowledged")
        tasks = [asyncio.ensure_future(
            write_always(system, record, number, acknowledged, stop))
            for number in range(WRITERS)]
        end = time.monotonic() + 20
        while len(acknowledged) < 20:
            if time.monotonic() > end:
                raise CannotRun("no writes are served")
            await asyncio.sleep(0.1)
        await asyncio.sleep(QUIET_S)
        if TROUBLE:
            await release_with_crash(system, database, record, primary, leaving, other)
            await asyncio.sleep(3)
        else:
            await asyncio.sleep(20)
        stop.set()
        await asyncio.gather(*tasks, return_exceptions=True)
        promoted = database.promotions
        before = float("inf")
        for line in open(HERE / "record.txt"):
            if promoted and f"platform: {promoted[0][0].id} leads" in line:
                before = float(line.split()[0])
                break
        lost = check(database, record, acknowledged, before)
        held = {entry[2] for each in database.servers for entry in each.log
                if each.running}
        nowhere = [request for request in acknowledged if request not in held]
        record.write(f"{len(acknowledged)} commits were acknowledged; at the end "
                     f"{len(nowhere)} of them are at no server")
        for request in lost[:20]:
            record.write(f"LOST: {request}, acknowledged at {acknowledged[request]:.3f}")
        return 1 if lost else 0
    finally:
        stop.set()
        for task in tasks:
            task.cancel()
        for server in database.servers:
            if server.running:
                server.crash("ends")
        system.close(keep=os.environ.get("KEEP") == "1")
        if os.environ.get("KEEP") == "1":
            print(system.folder)


def main():
    record = Record(HERE / "record.txt")
    try:
        result = asyncio.run(run(record))
    except (Exception, KeyboardInterrupt) as error:
        # Also an error of the script or its end from outside says nothing of the rule.
        record.write(f"could not run: {error!r}")
        result = 2
    record.write(f"exit {result}")
    return result


sys.exit(main())
