"""Checks the rules of PROTOCOL on what workers and users see."""


class Rules:
    def __init__(self, world):
        self.world = world
        self.on = {}  # piece -> {machine name: attempt}
        self.completed = set()
        self.jobs = {}  # accepted jobs
        self.cancelled = {}  # id -> when its user was told
        self.done = set()
        self.broken = []
        self.starts = []  # (time, machine, piece, attempt)

    def breaks(self, rule, text):
        self.broken.append(rule)
        self.world.record(f"RULE BROKEN {rule}: {text}")

    # ---- tasks ----

    def started(self, worker, task):
        now = self.world.now()
        self.world.record(f"task {task.piece} try {task.attempt} starts on {worker.name}")
        self.starts.append((now, worker.name, task.piece, task.attempt))
        where = self.on.setdefault(task.piece, {})
        others = {m: t for m, t in where.items() if m != worker.name}
        if others:
            self.breaks("ran_twice", f"{task.piece} starts on {worker.name} while it is on {others}")
        where[worker.name] = task.attempt
        id = task.piece.rsplit("/", 1)[0]
        told = self.cancelled.get(id)
        if told is not None and now - told > self.world.cancel_s:
            self.breaks("ran_cancelled", f"{task.piece} starts {now - told:.1f} s after its user was told")
        elif told is not None:
            self.world.record(f"note: {task.piece} starts {now - told:.3f} s after its user was told")
        self._check_limit(id)

    def left(self, worker, task, why):
        self.world.record(f"task {task.piece} try {task.attempt} leaves {worker.name}: {why}")
        self.on.get(task.piece, {}).pop(worker.name, None)

    def _check_limit(self, id):
        crew = self.world.jobs[id]["Crew"]
        used = sum(
            self.world.jobs[p.rsplit("/", 1)[0]]["Vcpus"] * len(m)
            for p, m in self.on.items()
            if self.world.jobs[p.rsplit("/", 1)[0]]["Crew"] == crew
        )
        if used > self.world.settings["teams"][crew][1] + 1e-6:
            self.breaks("quota", f"{crew} uses {used}")

    def check_cancelled(self):
        """Tasks of cancelled jobs must be gone after `cancel_s`."""
        now = self.world.now()
        for piece, where in self.on.items():
            told = self.cancelled.get(piece.rsplit("/", 1)[0])
            if where and told is not None and now - told > self.world.cancel_s + 0.05:
                self.breaks("ran_cancelled", f"{piece} is on {where} {now - told:.1f} s after")

    # ---- answers ----

    def accepted(self, job):
        self.jobs.setdefault(job["Id"], job)

    def answered(self, method, path, status, answer):
        parts = path.strip("/").split("/")
        if len(parts) < 2:
            return
        id = parts[1]
        if status == 404 and id in self.jobs:
            self.breaks("forgotten", f"{id} gets 404")
        if status != 200:
            return
        if id not in self.world.jobs:
            self.breaks("invented", f"{id} gets 200")
        stage = answer.get("Stage")
        if id in self.done and stage != "done" or id in self.cancelled and stage != "cancelled":
            self.breaks("went_back", f"{id} is called {stage}")
        if stage == "done":
            self.done.add(id)
            job = self.world.jobs.get(id)
            if job and sum(p.rsplit("/", 1)[0] == id for p in self.completed) < job["Pieces"]:
                self.breaks("not_done", f"{id} is called done")
        if stage == "cancelled":
            self.cancelled.setdefault(id, self.world.now())
