"""The stand-ins of the review, as unkind as PROTOCOL and DEPLOY allow.

`faults` maps the name of a trouble that is under way to its parameters; troubles.py sets them.
"""
import asyncio
import json
import os
import random
import subprocess
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "review", "standin"))
import cloud as review_cloud  # noqa: E402
import net as review_net  # noqa: E402
import state as review_state  # noqa: E402
import worker as review_worker  # noqa: E402
import world as review_world  # noqa: E402
from net import request  # noqa: E402

from checker import job_of  # noqa: E402
from ports import Ports  # noqa: E402

MAX_TRANSACTION_BYTES = 64 * 1024
NO_ANSWER = None


class Faults(dict):
    """The troubles under way, and how often each of them took effect."""

    def __init__(self):
        super().__init__()
        self.effects = {}

    def note(self, kind):
        self.effects[kind] = self.effects.get(kind, 0) + 1

    def hits(self, kind, rng=None, node=None):
        """Whether the trouble takes effect now; notes it."""
        if kind not in self:
            return False
        parameters = self[kind]
        if node is not None and parameters.get("nodes") and node not in parameters["nodes"]:
            return False
        if rng is not None and rng.random() >= parameters.get("share", 1.0):
            return False
        self.note(kind)
        return True


class SoakState(review_state.State):
    """The state service. A listing has few keys, so that a small deployment has many ranges."""

    def __init__(self, world):
        super().__init__(world.record)
        self.world = world
        self.faults = world.faults
        self.rng = random.Random(world.schedule.seed ^ 0x5747)
        self.max_listed = 500
        self.compacted_until = 0

    def compact(self):
        """Forgets all changes so far."""
        self.compacted_until = self.ledger

    async def _handle(self, node, method, path, query, body):
        faults, rng = self.faults, self.rng
        if faults.hits("state_silent", node=node):
            return NO_ANSWER
        if faults.hits("state_resets", rng, node):
            raise ConnectionResetError
        if path != "/watch":
            if faults.hits("state_refuses_node", node=node):
                return 503, {"error": "trouble"}
            if faults.hits("state_rate_limits", rng, node):
                return 429, {"error": "too many requests"}
        if path == "/watch" and faults.hits("state_watch_blocked", node=node):
            return NO_ANSWER
        answer = await super()._handle(node, method, path, query, body)
        if faults.hits("state_slow", rng):
            await asyncio.sleep(rng.uniform(0.05, 0.6))
        return answer

    async def txn(self, body):
        settings = self.world.settings
        writes = body.get("Writes", [])
        if len(writes) > settings["txn_ops"] or len(json.dumps(body)) > MAX_TRANSACTION_BYTES:
            self.world.checker.violate("malformed", f"a transaction of {len(writes)} writes")
            return 400, {"error": "too large"}
        if self.faults.hits("state_late_txns", self.rng):
            asyncio.get_running_loop().create_task(self._txn_late(body))
            return NO_ANSWER
        answer = await super().txn(body)
        if self.faults.hits("state_lost_answers", self.rng):
            return NO_ANSWER
        return answer

    async def _txn_late(self, body):
        await asyncio.sleep(self.rng.uniform(2.0, 12.0))
        await super().txn(body)

    def _range(self, query):
        page = min(int(query.get("Page", "1000")), self.max_listed)
        return super()._range(dict(query, Page=str(page)))

    async def _watch(self, node, query):
        # A node that one service alone refuses has open watches that wait, as in an outage.
        while "state_refuses_node" in self.faults and node in self.faults["state_refuses_node"]["nodes"]:
            self.faults.note("state_refuses_node")
            await asyncio.sleep(0.1)
        if int(query["From"]) < self.compacted_until:
            self.faults.note("state_compacts")
            return 410, {"error": "too old"}
        return await super()._watch(node, query)


class Gang:
    """The tasks of one attempt of a gang, which find one another."""

    def __init__(self, pieces):
        self.pieces = pieces
        self.waiting = set()
        self.complete = asyncio.Event()
        self.broken = asyncio.Event()


class SoakWorker(review_worker.Worker):
    """A machine whose reports and commands may come late, again, or from before its restart."""

    def __init__(self, *args):
        super().__init__(*args)
        self.restarted_at = -1.0
        self.recall_at = None
        self.killed = False

    def expire_lease(self):
        """Ends the session if the lease has run out."""
        now = self.world.now()
        if now - self.lease_from <= self.world.lease_s:
            return
        self.shift += 1
        self.tally = 0
        self.lease_from = now
        if self.tasks:
            self.world.record(f"worker {self.name} lease ran out, session {self.shift}")
        for task in list(self.tasks.values()):
            self._leave(task, "lease ran out")
        self.tasks.clear()
        self.changed.set()

    async def _lease_loop(self):
        while True:
            await asyncio.sleep(0.05)
            self.expire_lease()

    def restart(self):
        super().restart()
        self.restarted_at = self.world.now()

    def report(self):
        if not self.is_up:  # asyncio.wait_for may have swallowed the end of the loop that reports
            raise asyncio.CancelledError
        report = super().report()
        if self.recall_at is not None:
            report["RecallS"] = round(max(0.0, self.recall_at - self.world.now()), 1)
        faults = self.world.faults
        if faults.hits("late_reports", self.world.message_rng):
            self.world.spawn(self._send_copy(json.loads(json.dumps(report))))
        return report

    async def _send_copy(self, report):
        """A copy of a report arrives again, from 2 s to well over a lease later."""
        await asyncio.sleep(self.world.message_rng.uniform(2.0, 1.5 * self.world.lease_s))
        port = self.world.api_ports[self.world.message_rng.randrange(len(self.world.nodes))]
        self.world.record(f"a copy of report {report['Shift']}.{report['Tally']} of {self.name}")
        await request(port, "POST", "/agent/beat", report, 4.0)

    def _take_answer(self, answer, sent_at, shift):
        if self.is_up and sent_at >= self.restarted_at:  # a connection does not outlive the machine
            self.expire_lease()
            super()._take_answer(answer, sent_at, shift)

    def commands(self, value):
        self.expire_lease()
        return super().commands(value)

    async def carry_out_late(self, value, delay_s, what):
        await asyncio.sleep(delay_s)
        await self.hung.wait()
        # A machine that was restarted and has seen no token yet carries out any command by the
        # protocol, so that no controller can prevent it (docs/questions.md).
        if not self.is_up or self.helm == 0:
            return
        self.world.record(f"{what} arrives at {self.name}: {json.dumps(value)}")
        self.commands(value)

    # ---- tasks ----

    async def _live(self, task, job):
        if job["Form"] != "gang":
            await super()._live(task, job)
            return
        if job["Mould"] not in self.images:
            await self._pause(self.world.fetch_s)
            self.images.add(job["Mould"])
        task.on_machine = True
        task.stage = "gathering"
        self.changed.set()
        self.world.rules.started(self, task)
        if self.world.checker.is_completed(task.piece):
            self._exit(task, "done")
            return
        await self._live_in_gang(task, job)

    async def _live_in_gang(self, task, job):
        world = self.world
        gang = world.gangs.setdefault((job["Id"], task.attempt), Gang(job["Pieces"]))
        gang.waiting.add(task.piece)
        task.gang = gang
        if len(gang.waiting) == gang.pieces:
            gang.complete.set()
        try:
            await asyncio.wait_for(gang.complete.wait(), world.settings["gang_wait_s"])
        except asyncio.TimeoutError:
            self._exit(task, "incomplete")
            return
        task.stage = "running"
        self.changed.set()
        try:
            await asyncio.wait_for(gang.broken.wait(), world.times[job["Id"]])
            await asyncio.sleep(world.rng.uniform(0.0, world.settings["gang_peer_s"] / 2))
            self._exit(task, "peers")
        except asyncio.TimeoutError:
            for i in range(job["Pieces"]):
                world.checker.completed(f"{job['Id']}/{i}")
            gang.is_done = True
            self._exit(task, "done")

    def _part_from_gang(self, task):
        gang = getattr(task, "gang", None)
        if not gang:
            return
        gang.waiting.discard(task.piece)
        if gang.complete.is_set() and not getattr(gang, "is_done", False):
            gang.broken.set()

    def _exit(self, task, cause):
        self._part_from_gang(task)
        super()._exit(task, cause)

    def _leave(self, task, why):
        self._part_from_gang(task)
        super()._leave(task, why)


class SoakCloud(review_cloud.Cloud):
    """A cloud whose answers get lost, whose requests come late, and whose machines boot oddly."""

    def __init__(self, world, *args):
        super().__init__(world, *args)
        self.rng = random.Random(world.schedule.seed ^ 0xC10D)

    def new_worker(self, offer):
        self.count += 1
        worker = SoakWorker(self.world, f"host-{self.count:06d}", *offer)
        self.machines[worker.name] = worker
        return worker

    async def add(self, offer):
        worker = self.new_worker(offer)
        await worker.start()
        self._snapshot()

    async def _handle(self, method, path, query, body):
        faults = self.world.faults
        if faults.hits("cloud_outage"):
            return 503, {"error": "trouble"}
        if method == "POST" and faults.hits("cloud_late", self.rng):
            self.world.spawn(self._handle_late(method, path, query, body))
            return NO_ANSWER
        answer = await super()._handle(method, path, query, body)
        if method == "POST" and faults.hits("cloud_lost_answers", self.rng):
            return NO_ANSWER
        return answer

    async def _handle_late(self, method, path, query, body):
        await asyncio.sleep(self.rng.uniform(2.0, 15.0))
        await super()._handle(method, path, query, body)

    async def _rent(self, value):
        name = value["Charter"]
        if name in self.charters:
            return 200, {"Masts": self.charters[name]}
        offer = (value["Build"], value["Yard"], value["Loaners"])
        number = min(value["Number"], self.capacity.get(offer, 0), 50)
        if number <= 0 or self.world.faults.hits("cloud_full"):
            return 503, {"error": "no capacity"}
        self.capacity[offer] -= number
        workers = [self.new_worker(offer) for _ in range(number)]
        for worker in workers:
            self.world.spawn(self._boot(worker))
        self.charters[name] = [worker.name for worker in workers]
        self.world.record(f"cloud rented {self.charters[name]} {offer} for {name}")
        self._snapshot()
        return 200, {"Masts": self.charters[name]}

    async def _boot(self, worker):
        boot_s = self.boot_s * self.rng.uniform(0.6, 1.5)
        if self.world.faults.hits("boots_odd"):
            boot_s = self.rng.choice((0.1, 5 * self.boot_s, 600.0))
        await asyncio.sleep(boot_s)
        if worker.name in self.machines:
            await worker.start()
            self._snapshot()

    def take(self, worker):
        """The machine is gone; the cloud took it."""
        self.machines.pop(worker.name, None)
        worker.remove()
        self._snapshot()

    async def die(self, worker):
        """The machine stops with all that is on it, and is listed as running for a while."""
        worker.remove()
        await asyncio.sleep(8.0)
        worker.stage = "failed"
        self._snapshot()


class CheckerOfWorkers:
    """What the workers of the review call: passes what is seen on machines to the checker."""

    def __init__(self, world):
        self.world = world
        self.completed = self
        self.broken = []

    def started(self, worker, task):
        for other in list(self.world.cloud.machines.values()):
            if other is not worker and other.is_up:
                other.expire_lease()
        self.world.record(f"task {task.piece} try {task.attempt} starts on {worker.name}")
        machine = (worker.name, worker.build, worker.yard, worker.loaners)
        self.world.checker.started(self.world.clock.now(), machine, task.piece)

    def left(self, worker, task, why):
        self.world.record(f"task {task.piece} try {task.attempt} leaves {worker.name}: {why}")
        self.world.checker.left(task.piece, worker.name)

    def add(self, piece):
        self.world.checker.completed(piece)

    def __contains__(self, piece):
        return self.world.checker.is_completed(piece)


class Clock:
    """Time as far as the stand-ins kept up with it, so that verdicts don't depend on the machine."""

    TICK_S = 0.02
    MAX_TICK_S = 0.1

    def __init__(self):
        self.elapsed = 0.0
        self.stalled = 0.0

    async def run(self):
        loop = asyncio.get_running_loop()
        last = loop.time()
        while True:
            await asyncio.sleep(self.TICK_S)
            now = loop.time()
            self.elapsed += min(now - last, self.MAX_TICK_S)
            self.stalled += max(0.0, now - last - self.MAX_TICK_S)
            last = now

    def now(self):
        return self.elapsed


class SoakWorld(review_world.World):
    """A deployment of real nodes among these stand-ins."""

    def __init__(self, schedule, checker, settings, daemon, record_path):
        self.schedule = schedule
        self.faults = Faults()
        self.ports = Ports()
        review_net.free_port = review_world.free_port = self.ports.take
        super().__init__(record_path, settings, schedule.seed)
        self.held_nodes = set()  # nodes that a trouble has ended or paused
        self.checker = checker
        checker.record = self.record
        self.clock = Clock()
        self.daemon = daemon
        self.message_rng = random.Random(schedule.seed ^ 0x3E55)
        self.gangs = {}
        self.background = set()
        self.rules = CheckerOfWorkers(self)
        self.state = SoakState(self)
        self.crashes = []

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self._background_ended)
        return task

    def _background_ended(self, task):
        self.background.discard(task)
        if not task.cancelled() and task.exception():
            self.crashes.append(repr(task.exception()))

    def _handle_exception(self, loop, context):
        error = context.get("exception")
        self.record(f"stand-in: {context['message']}: {error!r}")
        if error and not isinstance(error, (ConnectionError, asyncio.CancelledError)):
            self.crashes.append(repr(error))

    def make_cloud(self, types, capacity, boot_s):
        self.cloud = SoakCloud(self, types, capacity, boot_s, self.settings["list_lag_s"])

    async def start(self, machines):
        """Starts the stand-ins, the machines that are up at the start, and the nodes."""
        asyncio.get_running_loop().set_exception_handler(self._handle_exception)
        self.spawn(self.clock.run())
        await self.cloud.start()
        await self.state.start(self.nodes)
        for i in range(len(self.nodes)):
            for j in range(len(self.nodes)):
                if i != j:
                    self.links[(i, j)] = review_world.Proxy(self.back_ports[j])
                    await self.links[(i, j)].start()
        for offer in machines:
            await self.cloud.add(offer)
        for i in range(len(self.nodes)):
            self.start_node(i)

    def start_node(self, i):
        log = open(os.path.join(self.dir, f"{self.nodes[i]}.log"), "ab")
        self.processes[i] = subprocess.Popen(
            [self.daemon, "--features", "deploy/features.toml", "--config",
             self._write_settings(i)],
            cwd=review_world.ROOT, stderr=log, stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            env=dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"),
                     ASAN_OPTIONS="detect_leaks=0"),
        )
        log.close()
        self.record(f"node {self.nodes[i]} started, pid {self.processes[i].pid}")

    def check_processes(self):
        """Notes the nodes that ended by themselves, and starts them again."""
        for i, process in enumerate(self.processes):
            if process and i not in self.held_nodes and process.poll() is not None:
                self.checker.violate("process_ended", f"{self.nodes[i]}: {process.returncode}")
                self.start_node(i)

    def fails(self, worker, task):
        """Seconds until the task fails; 0: it does not."""
        return 0.5 if self.faults.hits("tasks_fail", self.message_rng) else 0

    def active_pieces(self):
        return [p for p, where in self.checker.on.items() if where]

    def running_jobs(self):
        return sorted({job_of(p) for p in self.active_pieces()})
