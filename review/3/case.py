"""A copy of an old report arrives after its machine has restarted."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from net import request  # noqa: E402
from world import CannotRun, main  # noqa: E402

TYPES = [
    {"Label": "jangada", "Vcpus": 8, "Cards": 0, "MemoryGb": 16, "LocalGb": 35, "FetchGbPerS": 0.3,
     "Price": 0.5, "MarketPrice": 0.2, "ReadyS": 15, "Yards": ["recife", "fortaleza"]},
]
LATE_S = 10.0  # "from 2 s to well over a lease later"; the lease is 14 s
JOB = "wk-000301"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # 0: without the disruption


async def scenario(world, trouble):
    offers = [("jangada", yard, False) for yard in ("recife", "fortaleza")]
    # Two machines are up at the start. The nodes come 15 s later, which is more than `lease_s`, so
    # that the workers, without any task, have begun their second session by then.
    await world.start(TYPES, {offer: 2 for offer in offers}, machines=offers, after_s=15.0)
    workers = list(world.cloud.machines.values())
    await world.until(
        lambda: all(w.last_answered and w.last_answered[1]["Helm"] for w in workers), 15,
        "the workers report to the nodes")
    await asyncio.sleep(0.5)
    worker = workers[0]
    node, report, since = worker.last_answered
    if report["Shift"] < 2 or worker.tasks:
        raise CannotRun("the worker is not in its second session, or has tasks")
    world.record(f"of this report to {world.nodes[node]} a copy will arrive: {json.dumps(report)}")
    if trouble:
        worker.restart()
    await asyncio.sleep(2.5)
    await world.submit(world.job(301, Pieces=2, Vcpus=6.0, ExpectedS=100.0), 100.0)
    await world.until(lambda: sum(len(m) for m in world.rules.on.values()) == 2, 15,
                      "both tasks run")
    mine = [p for p, m in world.rules.on.items() if worker.name in m]
    if not mine:
        raise CannotRun("no task is on the machine")
    await asyncio.sleep(max(2.0, since + LATE_S - world.now()))
    if trouble:
        world.record(f"the copy arrives at {world.nodes[node]}, {world.now() - since:.1f} s late")
        status, answer = await request(world.api_ports[node], "POST", "/agent/beat", report, 4.0)
        world.record(f"the copy is answered: {status} {json.dumps(answer)}")
    await asyncio.sleep(30.0)
    await world.poll(JOB)


main(scenario, os.path.join(HERE, "record.txt"), TROUBLE)
