"""A repeat of a direct command that was carried out and answered, after its sender has ended."""
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
JOB = "wk-000101"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # 0: without the disruption


async def scenario(world, trouble):
    commands = []  # (worker, body) of every direct command that was answered

    def remember(worker, body):
        commands.append((worker, body))

    world.command_hook = remember
    capacity = {("jangada", yard, False): 3 for yard in ("recife", "fortaleza")}
    await world.start(TYPES, capacity)
    # A service keeps two machines busy in part, so that they are not returned.
    await world.submit(world.job(100, Form="daemon", Urgency="prod", Pieces=2, Vcpus=4.0,
                                 Apart=True, ExpectedS=0.0, Lot="depot-routes"), None)
    on = world.rules.on
    await world.until(lambda: sum(len(on.get(f"wk-000100/{i}", {})) for i in (0, 1)) == 2, 30,
                      "the service runs")
    # The first run of this task ends with an error, as on a machine that fails once.
    world.failures[JOB + "/0"] = 1.5
    await world.submit(world.job(101, ExpectedS=80.0), 80.0, node=1)
    first = await world.until(
        lambda: [s for s in world.rules.starts if s[2] == JOB + "/0"], 30, "the task starts")
    await world.until(
        lambda: len([s for s in world.rules.starts if s[2] == JOB + "/0"]) > 1, 40,
        "the task starts again")
    second = [s for s in world.rules.starts if s[2] == JOB + "/0"][1]
    copy = None
    for worker, body in commands:
        value = json.loads(body)
        runs = [o for o in value["Orders"] if o["Verb"] == "run" and o["Piece"] == JOB + "/0"]
        if worker.name == first[0][1] and runs and runs[0]["Try"] == first[0][3]:
            copy = (worker, body, value)
    if not copy or second[1] == first[0][1]:
        raise CannotRun("the first run was not started by a direct command, or not moved")
    worker, body, value = copy
    await world.until(lambda: (JOB + "/0", first[0][3]) not in worker.tasks, 15,
                      "the first run is cleared")
    await asyncio.sleep(2.0)
    sender = owner_of(world, worker.name)
    if trouble:
        # The sender of the command ends; a repeat of its request follows within the second.
        world.kill_node(sender)
        await asyncio.sleep(0.1)
        world.record(f"a repeat of the command arrives at {worker.name}: {body.decode()}")
        status, answer = await request(worker.server.port, "POST", "/commands", raw=body)
        world.record(f"the repeat is answered: {status} {json.dumps(answer)}")
        await asyncio.sleep(5.0)
        world.start_node(sender)
    await asyncio.sleep(12.0)
    await world.poll(JOB, node=sender + 1)


def owner_of(world, machine):
    """The node that this machine reports to, which sends its commands."""
    return world.cloud.machines[machine].home


main(scenario, os.path.join(HERE, "record.txt"), TROUBLE)
