"""sync_replicas = 1: the primary is replaced as planned while one replica
receives nothing and the other one has just crashed."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import Writer, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEAF_S = 6.0


def prepare(deployment):
    deployment.service_.sync_ = 1


async def main(deployment):
    record = deployment.record_
    service = deployment.service_
    writer = Writer(deployment)
    writing = asyncio.ensure_future(writer.run())
    await asyncio.sleep(5)
    earlier = len(service.promotions_)
    primary = service.primary()
    deaf, other = [s for s in service.servers_ if s is not primary]
    if TROUBLE:
        deaf.deaf_ = True
        record.say(f"{deaf.name_} receives nothing from {primary.name_} for {DEAF_S} s")
        asyncio.get_running_loop().call_later(DEAF_S, service.hear, deaf)
        await asyncio.sleep(2)
        await other.stop()
        record.say(f"{other.name_} crashes")
        await asyncio.sleep(0.5)
    primary.set_state("draining")
    record.say(f"the primary {primary.name_} is to be replaced: it reports draining")
    for _ in range(120):
        await asyncio.sleep(0.1)
        if len(service.promotions_) > earlier:
            break
    await asyncio.sleep(1)
    writing.cancel()
    if len(service.promotions_) == earlier:
        record.say("no server was promoted")
        return 0 if TROUBLE else 2
    return 1 if writer.check_promotion(service.promotions_[earlier]) else 0


run_case(main, os.path.dirname(os.path.abspath(__file__)), prepare)
