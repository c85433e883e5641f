"""A direct command is held up, and carried out after its machine has restarted."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from world import CannotRun, main  # noqa: E402

TYPES = [
    {"Label": "jangada", "Vcpus": 8, "Cards": 0, "MemoryGb": 16, "LocalGb": 35, "FetchGbPerS": 0.3,
     "Price": 0.5, "MarketPrice": 0.2, "ReadyS": 15, "Yards": ["recife", "fortaleza"]},
]
PIECE = "wk-000301/0"
HELD_S = 15.0  # "2 to 16 s late"


async def scenario(world, trouble):
    held = []  # the command that is held up: (worker, value, when)

    def hold(worker, body):
        value = json.loads(body)
        runs = [o for o in value["Orders"] if o["Verb"] == "run" and o["Piece"] == PIECE]
        if trouble and runs and not held:
            held.append((worker, value, world.now()))
            world.record(f"a command to {worker.name} is held up: {body.decode()}")
            return "held"
        return None

    world.command_hook = hold
    capacity = {("jangada", yard, False): 3 for yard in ("recife", "fortaleza")}
    await world.start(TYPES, capacity)
    # A short job, after which a machine in each zone is up and idle.
    await world.submit(world.job(300, Pieces=2, Apart=True, ExpectedS=1.0), 1.0)
    await world.until(lambda: len(world.rules.completed) == 2, 30, "the first job is done")
    await asyncio.sleep(1.0)
    # The first run of this task ends with an error, as on a machine that fails once.
    world.failures[PIECE] = 0.5
    await world.submit(world.job(301, ExpectedS=80.0), 80.0, node=1)

    def starts():
        return [s for s in world.rules.starts if s[2] == PIECE]

    await world.until(lambda: len(starts()) == 2, 15, "the task fails once and starts again")
    first, second = starts()
    if first[1] == second[1]:
        raise CannotRun("the second run is on the same machine")
    if trouble:
        worker, value, since = held[0]
        if worker.name != first[1] or value["Orders"][0]["Try"] != first[3]:
            raise CannotRun("the command that was held up is not that of the first run")
        if world.now() - since > HELD_S - 3.0:
            raise CannotRun("the second run came too late")
        await asyncio.sleep(1.0)
        worker.restart()
        await asyncio.sleep(max(0.0, since + HELD_S - world.now()))
        world.record(f"the command is carried out at {worker.name}, {HELD_S:.0f} s late: {value}")
        status, answer = worker.commands(value)
        world.record(f"its answer is lost: {status} {json.dumps(answer)}")
    await asyncio.sleep(8.0)
    await world.poll("wk-000301")


main(scenario, os.path.join(HERE, "record.txt"))
