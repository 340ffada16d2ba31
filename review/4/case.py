"""A control process is killed while it handles an order, and gets the next
order right after it is back."""

import asyncio
import json
import os
import random
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import BOUNDS, call_http, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNS_S = 80
BACK_AFTER_S = 0.25
CALL_S = 1.0  # the operator gives up a call after a second without a response


async def read_versions(deployment):
    """The versions that the nodes answer with; 5xx and no response left out."""
    versions = {}
    for node in deployment.controls_:
        status, body = await call_http(node.control(), "GET", "/config")
        if status == 200:
            versions[node.name_] = json.loads(body)["version"]
    return versions


async def send(deployment, address, version):
    config = deployment.make_config(version, timeout_ms=1000 + version)
    status, _ = await call_http(address, "PUT", "/config", config, timeout=CALL_S)
    deployment.record_.write(f"PUT /config version {version} at {address}: {status}")
    return status


async def restart(deployment, node):
    """The process is killed; the platform starts it again after a short delay."""
    node.kill()
    await asyncio.sleep(BACK_AFTER_S)
    node.start()


async def send_at_start(deployment, node, version):
    """The operator's next order. A call that is refused is sent again at once."""
    end = time.monotonic() + CALL_S
    status = None
    while status is None and time.monotonic() < end:
        status = await send(deployment, node.control(), version)
        await asyncio.sleep(0.005)
    return status


async def one_round(deployment, node, version, took):
    """Returns whether the second order was acknowledged and is gone."""
    record = deployment.record_
    if TROUBLE:
        await restart(deployment, node)
        await asyncio.sleep(1.2)
    first = asyncio.ensure_future(send(deployment, node.control(), version))
    if TROUBLE:
        await asyncio.sleep(random.uniform(0.15, 0.8) * took)
        await restart(deployment, node)
    await first
    if await send_at_start(deployment, node, version + 1) != 200:
        return False
    acknowledged = time.monotonic()
    await asyncio.sleep(0.3)
    if set((await read_versions(deployment)).values()) == {version + 1}:
        return False
    wait = BOUNDS["config_apply_ms"] / 1000 + 1 - (time.monotonic() - acknowledged)
    await asyncio.sleep(wait)
    asked = time.monotonic() - acknowledged
    versions = await read_versions(deployment)
    older = {name: read for name, read in versions.items() if read < version + 1}
    if older:
        record.say(f"version {version + 1} was acknowledged by {node.name_}")
        record.say(f"reads sent {asked:.1f} s later were answered with {older}")
    return bool(older)


async def main(deployment):
    record = deployment.record_
    await asyncio.sleep(1)
    # One machine for the whole case: one that does not lead.
    node = next(
        n for n in deployment.controls_ if "event=leading host" not in n.log()
    )
    deployment.restart_.add(node)  # this case starts it again by itself
    started = time.monotonic()
    await send(deployment, node.control(), 9)
    took = time.monotonic() - started
    record.say(f"an order at {node.name_} takes {took * 1000:.0f} ms")
    end = time.monotonic() + RUNS_S
    version = 10
    rounds = 0
    while time.monotonic() < end:
        rounds += 1
        if await one_round(deployment, node, version, took):
            record.say(f"in round {rounds}")
            return 1
        version += 2
    record.say(f"{rounds} rounds")
    return 0


run_case(main, os.path.dirname(os.path.abspath(__file__)))
