"""An acknowledged commit is not in the log of the server that is promoted."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins3 import (  # noqa: E402
    CannotRun, Client, HEARTBEAT_MS, ROUTES, Server, World, http, play, served)

RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"

TRIALS = 8  # each with a new system; the first break ends the case
SETTLED_S = 1.0
PROMOTED_S = 10.0
WRITE = "WRITE 1a4 acknowledged"


async def announce(world, server):
    """The next heartbeats of a server that has been acknowledged once."""
    turn = 0
    while server.running:
        await asyncio.sleep(HEARTBEAT_MS / 1000)
        for _ in world.control:
            host = world.control[turn % len(world.control)]
            answer = await http("PUT", host.control, f"/instances/{server.id}",
                                server.announcement())
            if answer is not None and answer[0] == 200:
                break
            turn += 1


async def announce_once(world, server):
    """A heartbeat to one of the control hosts, which must acknowledge it."""
    host = random.choice(world.control)
    answer = await http("PUT", host.control, f"/instances/{server.id}",
                        server.announcement())
    world.record(f"{server.id} says {server.state} at {host.name}:"
                 f" {answer and answer[0]}")
    if answer is None or answer[0] != 200:
        raise CannotRun("a heartbeat is not acknowledged")


async def add_server(world):
    """A new server of the service: it has the primary's log, and announces itself.
    What it receives counts for sync_replicas only after that was acknowledged."""
    primary = world.primary()
    server = Server(world, "i-9f3a91c2", primary.zone,
                    primary.ip.rsplit(".", 1)[0] + ".4", primary.port, "replica")
    server.log = list(primary.log)
    server.counts = False
    await server.listen()
    world.servers.append(server)
    await announce_once(world, server)
    server.counts = True
    world.tasks.append(asyncio.create_task(announce(world, server)))


async def play_once(world, trouble):
    host = world.entries[0]
    for each in world.entries:
        await served(world, each)
    await asyncio.sleep(SETTLED_S)
    client = await Client(world, host, "client").open("lepu270")
    primary, *replicas = world.servers
    if trouble:
        for replica in replicas:
            replica.deaf = True
        world.record("the replicas receive nothing for a while")
    await add_server(world)
    _, end, _ = await client.query(WRITE)
    if not end.startswith("COMPLETE 7."):
        return None
    primary.state = "draining"
    await announce_once(world, primary)
    for _ in range(int(PROMOTED_S / 0.05)):
        await asyncio.sleep(0.05)
        if world.primary() is not primary:
            break
    else:
        return None
    leader = world.primary()
    if [WRITE] in leader.log:
        return ""
    return (f"the commit that was acknowledged is not in the log of {leader.id},"
            f" which was promoted")


async def case(world, trouble):
    acknowledged = 0
    for trial in range(TRIALS):
        if trial > 0:
            world.record(f"trial {trial + 1}")
            world = World(world.record, sync_replicas=1)
        try:
            if trial > 0:
                await world.start(ROUTES)
            broken = await play_once(world, trouble)
        finally:
            if trial > 0:
                await world.stop()
        if broken:
            return f"{broken} (trial {trial + 1})"
        acknowledged += broken is not None
    if acknowledged == 0:
        raise CannotRun("no write was acknowledged")
    return ""


if __name__ == "__main__":
    sys.exit(play(case, RECORD, sync_replicas=1))
