"""A transaction of run records gets no answer and is carried out late, when its tasks already run elsewhere."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))
from late_write import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def main():
    w = World(os.path.join(HERE, "record.txt"), cloud_rps=3.0,
              teams=[{"name": "operacoes", "cpus": 600.0, "cpus_max": 800.0}, {"name": "deposito", "cpus": 32.0, "cpus_max": 32.0}])
    c = LateWrite(w, TROUBLE)
    await w.start()
    c.hooks()
    if not await w.ready():
        return 2
    await c.prepare(14)
    # The other machines are taken for now, so that it is known where the tasks go when they run again.
    await w.submit(w.spec("wk-000801", pieces=6, run=110.0, ExpectedS=30.0, **BIG))
    await until(lambda: len(w.jobs["wk-000801"]["on"]) == 6, 10)
    await asyncio.sleep(2)
    c.armed = True
    await w.submit(w.spec(VICTIM, pieces=8, run=60.0, ExpectedS=30.0, team="deposito", **BIG))
    if not await until(lambda: c.held, 10):
        c.step("no transaction was held")
        w.finish()
        return 2
    label = c.held[0]
    c.step("a transaction of %s that writes %s gets no answer" % c.held)
    await asyncio.sleep(0.5)
    if not c.end_one_elsewhere():
        c.step("no task to end on another page")
        w.finish()
        return 2
    await until(lambda: c.second or not TROUBLE, 8)
    await until(lambda: c.victims() == 8, 10)
    c.step("tasks of the victim on machines: %d" % c.victims())
    mine = c.held_tasks()[:1]
    if not mine:
        return 2

    def first_fail(worker, t):
        return "error" if t.piece in mine and w.seen[t.piece] == 1 else None

    def second_fail(worker, t):
        return "error" if t.piece in mine and w.seen[t.piece] == 2 else None

    # Machines of the other nodes become free.
    c.ending |= {(x.name, "wk-000801") for p, x in w.jobs["wk-000801"]["on"] if x.at_node != label}
    await asyncio.sleep(2)
    c.failing = first_fail
    await until(lambda: w.seen[mine[0]] == 2 and c.victims() == 8, 25)
    c.step("the task that failed on %s runs again elsewhere: %s" % (label, {p: list(w.on[p]) for p in mine}))
    await until(lambda: not any(t.piece in mine and t.state == "exited" for x in w.workers.values() for t in x.tasks.values()), 7)
    await asyncio.sleep(3)
    c.release.set()
    await until(lambda: c.status or not TROUBLE, 2)
    await asyncio.sleep(2)
    c.step("now those fail once more")
    c.failing = second_fail
    # Other tasks of the team wait for what that leaves of its limit.
    await w.submit(w.spec("wk-000950", pieces=16, cpus=4.0, run=60.0, ExpectedS=30.0, team="deposito", urgency="normal"))
    await asyncio.sleep(25)
    c.step("tasks of the team on machines: %d of 8" % sum(len(j["on"]) for j in w.jobs.values() if j["spec"]["Crew"] == "deposito"))
    w.finish()
    if TROUBLE and c.status != 200:
        return 2
    return 1 if w.violations else 0

run(main)
