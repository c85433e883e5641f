"""All controllers end while the state service is down, and come back before it does."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from world import CannotRun, main  # noqa: E402

TYPES = [
    {"Label": "tolgoi", "Vcpus": 4, "Cards": 0, "MemoryGb": 8, "LocalGb": 40, "FetchGbPerS": 0.3,
     "Price": 0.15, "MarketPrice": 0.06, "ReadyS": 40, "Yards": ["ulaanbaatar", "darkhan"]},
    {"Label": "ger", "Vcpus": 16, "Cards": 0, "MemoryGb": 64, "LocalGb": 60, "FetchGbPerS": 0.3,
     "Price": 0.67, "MarketPrice": 0.28, "ReadyS": 50, "Yards": ["ulaanbaatar", "darkhan"]},
]
# The deployment khangai-pigments, with two of its five teams.
SETTINGS = {
    "zones": ["darkhan", "ulaanbaatar"],
    "domains": ["ulaanbaatar", "darkhan", "ulaanbaatar"],
    "teams": {"mixing-floor": (112.0, 288.0), "dealer-desk": (112.0, 384.0)},
    "report_s": 3.0, "lease_s": 34.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 64.0,
    "rps": 150.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 24,
    "cloud_rps": 3.0, "list_lag_s": 10.0, "ram_mb": 40.0, "fd_limit": 800,
}
OUTAGE_S = 20.0  # as in the site file
BACK_S = 4.0  # "back about 4 s after an end"
LIMIT_S = 75.0  # "no question is answered for 75 s"
JOB = "wk-000201"
WHICH = os.environ.get("TROUBLE", "1")  # 0: no trouble; "crash" or "outage": one of the two alone
TROUBLE = WHICH != "0"


async def scenario(world, trouble):
    capacity = {(t["Label"], yard, False): 4 for t in TYPES for yard in SETTINGS["zones"]}
    await world.start(TYPES, capacity)
    await world.submit(world.job(201, Crew="dealer-desk", Lot="swatch-match", Vcpus=4.0,
                                 MemoryGb=4.0, ExpectedS=300.0), 300.0)
    await world.until(lambda: world.rules.on.get(JOB + "/0"), 20, "the task starts")
    status, _ = await world.poll(JOB)
    if status != 200:
        raise CannotRun("the job is not known before any trouble")
    if trouble and WHICH != "crash":
        world.state.outage = True
        world.record("the state service is down: it answers 503")
    await asyncio.sleep(1.0)
    if trouble and WHICH != "outage":
        for i in range(3):
            world.kill_node(i)
    await asyncio.sleep(BACK_S)
    before = dict(world.state.requests)
    if trouble and WHICH != "outage":
        for i in range(3):
            world.start_node(i)
    await asyncio.sleep(OUTAGE_S - BACK_S - 1.0)
    for node, count in sorted(world.state.requests.items()):
        world.record(f"{node} has sent {count - before[node]} requests since the nodes are back")
    world.state.outage = False
    world.record("all troubles are over: the state service answers again, the nodes are up")
    over = world.now()
    k = 0
    while True:
        status, _ = await world.poll(JOB, k)
        k += 1
        if status == 200:
            world.record(f"a question is answered {world.now() - over:.1f} s after the troubles")
            return
        if world.now() - over > LIMIT_S:
            world.rules.breaks("forgotten", f"no question about the accepted job {JOB} was "
                               f"answered for {world.now() - over:.1f} s, at any node, with all "
                               "troubles over")
            return
        await asyncio.sleep(1.0)


main(scenario, os.path.join(HERE, "record.txt"), TROUBLE, settings=SETTINGS)
