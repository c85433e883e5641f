"""A gang with many tasks is accepted; the platform ends every node that holds more memory than it may."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))
from world import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RAM_MB = 72.0      # ram_mb in the settings that the stand-in writes
BACK_S = 5.0       # a node that was ended is back after about 5 s
PIECES = 100000 if TROUBLE else 1000


def held_mb(pid):
    """The memory that the process holds, without pages of files."""
    try:
        for line in open("/proc/%d/status" % pid):
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024.0
    except OSError:
        pass
    return 0.0


async def guard(w, kills):
    """The platform: a process over its limit of memory is killed and started again."""
    while True:
        await asyncio.sleep(0.02)
        for node in w.nodes.values():
            if node.proc.poll() is not None:
                continue
            mb = held_mb(node.proc.pid)
            if mb > RAM_MB:
                kills.append((node.label, round(mb, 1)))
                w.record("over_memory", node=node.label, mb=round(mb, 1), limit_mb=RAM_MB)
                print("%6.1f %s holds %.1f MB, the limit is %.1f" % (now() - w.t0, node.label, mb, RAM_MB), flush=True)
                node.kill()
                asyncio.get_event_loop().call_later(BACK_S, node.start)


async def main():
    w = World(os.path.join(HERE, "record.txt"), teams=[{"name": "operacoes", "cpus": 1200.0, "cpus_max": 2500.0}],
              cloud_rps=3.0, capacity=80)
    kills = []
    await w.start()
    if not await w.ready():
        return 2
    asyncio.ensure_future(guard(w, kills))
    before = w.spec("wk-000001", pieces=8, cpus=2.0, run=3.0)
    await w.submit(before)
    answer = await w.submit(w.spec("wk-000002", pieces=PIECES, form="gang", cpus=0.01, MemoryGb=0.001, run=1.0,
                                   Builds=["caravela"]))
    if not answer or answer[0] != 201:
        print("the gang was not accepted: %s" % (answer,))
        w.finish()
        return 2
    await asyncio.sleep(25)
    after = w.spec("wk-000003", pieces=8, cpus=2.0, run=3.0)
    await w.submit(after, timeout=40)
    end, done = now() + 30, None
    while now() < end and not done:
        await asyncio.sleep(2)
        a = await w.poll("wk-000003")
        done = a and a[0] == 200 and a[1]["Stage"] == "done"
    w.record("result", kills=kills, later_job_done=bool(done))
    print("ended for memory: %s; a job submitted later is done: %s" % (kills, bool(done)))
    w.finish()
    return 1 if kills or w.violations else 0

run(main)
