"""A transaction with run records of a node gets no answer and is carried out late; used by the cases 4 and 5."""
from world import *  # noqa: F403

VICTIM = "wk-000900"  # the job whose records are in the transaction
BIG = dict(cpus=4.0, MemoryGb=100.0, Builds=["caravela"], urgency="high")  # one task a machine
SMALL = dict(cpus=0.15, MemoryGb=0.1, Builds=["jangada"], urgency="prod")


async def until(condition, seconds):
    end = now() + seconds
    while now() < end:
        if condition():
            return True
        await asyncio.sleep(0.02)
    return False


class LateWrite:
    """Waits for a transaction of a node that is not the leader, which records tasks of VICTIM on one of its pages."""

    def __init__(self, world, trouble):
        self.w, self.trouble = world, trouble
        self.failing = lambda worker, t: False  # whether a running task of VICTIM fails now
        self.ending, self.armed = set(), False
        self.held, self.second, self.status = None, False, None
        world.task_end = self.task_end
        self.release = asyncio.Event()

    def hooks(self):
        for label in self.w.labels:
            self.w.state.hooks[label] = lambda m, p, b, label=label: self.hook(label, m, p, b)

    def step(self, text):
        self.w.record("step", text=text, pages=self.w.state.pages())
        print("%6.1f %s %s" % (now() - self.w.t0, text, self.w.state.pages()), flush=True)

    def task_end(self, worker, t):
        """The cause with which a running task ends now, or None."""
        if t.job["Id"] == VICTIM:
            return self.failing(worker, t)
        if (worker.name, t.job["Id"]) in self.ending:
            self.ending.discard((worker.name, t.job["Id"]))
            return "done"
        return None

    async def hook(self, label, method, path, body):
        if path != "/txn" or not self.armed:
            return None
        obj = json.loads(body)
        sets = [wr["Set"] for wr in obj["Writes"] if wr.get("Set", "").startswith("ll/p/%s/" % label)]
        if not sets or not any(c["K"] == "ll/j/" + VICTIM for c in obj["When"]):
            return None
        leader = json.dumps(self.w.state.keys.get("ll/leader"))
        pages = [k for k in self.w.state.keys if k.startswith("ll/p/%s/" % label)]
        if self.held is None and label not in leader and len(obj["Writes"]) == 1 and len(pages) >= 2 and sets[0] in pages:
            self.held, self.text = (label, sets[0]), obj["Writes"][0]["V"]["t"]
            self.w.record("held", node=label, transaction=obj)
            if self.trouble:
                asyncio.ensure_future(self.late(body))
                return HANG
        elif self.held and label == self.held[0]:
            self.second = True
            self.w.record("second", node=label, transaction=obj)
        return None

    async def late(self, body):
        await self.release.wait()
        answer = await self.w.state.execute("POST", "/txn", {}, body)
        self.status = answer[0]
        self.w.record("late", answer=answer)
        self.step("the late transaction was carried out: %d" % answer[0])

    async def prepare(self, machines=8):
        """Machines for VICTIM, and tasks that fill two pages of some node."""
        w = self.w
        await w.submit(w.spec("wk-000800", pieces=machines, run=2.0, **BIG))
        for i in range(10):
            await w.submit(w.spec("wk-%06d" % (i + 1), pieces=24, run=110.0, ExpectedS=60.0, **SMALL))
        await until(lambda: len(w.on) >= 240 + machines and w.jobs["wk-000800"]["tasks_done"] == machines, 30)
        await asyncio.sleep(2)
        for i in range(5):
            await w.submit(w.spec("wk-%06d" % (i + 101), pieces=100, run=110.0, ExpectedS=60.0,
                                  **dict(SMALL, cpus=0.005, MemoryGb=0.01)))
        await until(lambda: len(w.on) >= 740 + machines, 15)
        await asyncio.sleep(4)
        self.step("prepared")

    def end_one_elsewhere(self):
        """Lets a task end whose record is on another page of the node than that of the transaction."""
        label, page = self.held
        text = {k: v[0]["t"] for k, v in self.w.state.keys.items() if k.startswith("ll/p/%s/" % label)}
        for worker in self.w.workers.values():
            for t in worker.tasks.values():
                job = "#" + t.job["Id"] + " "
                if worker.at_node == label and t.state == "running" and job not in text.get(page, "") and \
                        any(job in text[p] for p in text if p != page):
                    self.ending.add((worker.name, t.job["Id"]))
                    return True
        return False

    def held_tasks(self):
        """The tasks of VICTIM whose records are in the transaction."""
        job, tasks = None, []
        for token in self.text.split():
            if token[0] == "#":
                job = token[1:]
            elif job == VICTIM and token.isdigit():
                tasks.append("%s/%s" % (VICTIM, token))
        return tasks

    def victims(self):
        return len(self.w.jobs[VICTIM]["on"])
