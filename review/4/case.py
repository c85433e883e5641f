"""A transaction of run records gets no answer and is carried out late; later the node is restarted."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))
from late_write import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE_S = 4.0  # the transaction is carried out that long after it was sent


async def main():
    w = World(os.path.join(HERE, "record.txt"), cloud_rps=3.0, teams=[{"name": "operacoes", "cpus": 600.0, "cpus_max": 800.0}])
    c = LateWrite(w, TROUBLE)
    await w.start()
    c.hooks()
    if not await w.ready():
        return 2
    await c.prepare()
    c.armed = True
    await w.submit(w.spec(VICTIM, pieces=8, run=45.0, ExpectedS=30.0, **BIG))
    if not await until(lambda: c.held, 10):
        c.step("no transaction was held")
        w.finish()
        return 2
    held_at = now()
    label = c.held[0]
    c.step("a transaction of %s that writes %s gets no answer" % c.held)
    await asyncio.sleep(0.5)
    if not c.end_one_elsewhere():
        c.step("no task to end on another page")
        w.finish()
        return 2
    await until(lambda: c.second or not TROUBLE, 8)
    await asyncio.sleep(max(0, held_at + LATE_S - now()))
    c.release.set()
    await until(lambda: c.victims() == 8, 10)
    await asyncio.sleep(2.5)
    c.step("tasks of the victim on machines: %d" % c.victims())
    # The first attempts fail.
    c.failing = lambda worker, t: "error" if w.seen[t.piece] == 1 else None
    await until(lambda: not c.victims(), 3)
    await until(lambda: not any(t.job["Id"] == VICTIM for x in w.workers.values() for t in x.tasks.values()), 7)
    c.step("all attempts have failed, and the workers were told to forget them")
    if TROUBLE:
        w.nodes[label].kill()
        await asyncio.sleep(0.3)
        w.nodes[label].start()
    await asyncio.sleep(30)
    c.step("tasks of the victim on machines: %s" % {p: m for p, m in w.on.items() if p.startswith(VICTIM) and m})
    await w.poll(VICTIM)
    w.finish()
    if TROUBLE and c.status != 200:
        return 2
    return 1 if w.violations else 0

run(main)
