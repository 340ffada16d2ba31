"""Heartbeats whose id can't be read, then all processes are killed once."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import (  # noqa: E402
    BOUNDS,
    HEARTBEAT_S,
    Load,
    call_http,
    run_case,
    send_unreadable_heartbeat,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def read_back(deployment, version, for_s):
    """Asks every node for the configuration; returns whether it came."""
    end = time.monotonic() + for_s
    came = False
    while time.monotonic() < end and not came:
        for node in deployment.controls_:
            status, body = await call_http(node.control(), "GET", "/config")
            deployment.record_.write(f"GET /config at {node.name_}: {status}")
            came |= status == 200 and f'"version": {version}'.encode() in body
        await asyncio.sleep(0.5)
    return came


async def main(deployment):
    record = deployment.record_
    load = Load(deployment)
    running = asyncio.ensure_future(load.run())
    await asyncio.sleep(3)
    if TROUBLE:
        for sequence, node in enumerate(deployment.controls_, 1):
            await send_unreadable_heartbeat(deployment, node, sequence)
            await asyncio.sleep(HEARTBEAT_S)
    await asyncio.sleep(6)
    if not await deployment.put_config(deployment.make_config(9, timeout_ms=1100)):
        record.say("the change before the final fault was not acknowledged")
        return 2
    fault = time.monotonic()
    before, count = load.share(fault - 3, fault - 0.2)
    record.say(f"before the final fault {before:.2f} of {count} requests were served")
    if before < 0.25:
        return 2
    for node in deployment.nodes_:
        node.signal(9)
    record.say("final fault: all processes were killed; they start again after 0.5 s")
    await asyncio.sleep(1.5)
    back = time.monotonic()
    await asyncio.sleep(BOUNDS["recovery_s"] + 8)
    after, count = load.share(
        back + BOUNDS["recovery_s"], back + BOUNDS["recovery_s"] + 8
    )
    record.say(
        f"from {BOUNDS['recovery_s']} s after they were back, {after:.2f} of"
        f" {count} requests were served"
    )
    came = await read_back(deployment, 9, 2 * BOUNDS["stable_window_ms"] / 1000)
    record.say(
        "version 9, which was acknowledged, "
        + ("was read back" if came else "could not be read back at any node")
    )
    running.cancel()
    for node in deployment.controls_:
        for line in node.log().splitlines():
            if "member-not-started" in line or "event=starting" in line:
                record.write(f"{node.name_}: {line}")
    return 1 if after < 0.25 else 0


run_case(main, os.path.dirname(os.path.abspath(__file__)))
