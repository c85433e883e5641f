"""The users: they submit, ask, repeat and cancel at all nodes throughout."""
import asyncio
import random

import review_standin

from checker import TERMINAL
from schedule import TASK_RUN_S, draw_job

SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S = 5.0, 2.0
GIVE_UP_S = 60.0
POLL_S = 2.0
# A team's unfinished tasks, in multiples of its limit, above which its users submit nothing more.
MAX_BACKLOG = 2.0
MAX_SERVICE_SHARE = 0.4


class Users:
    def __init__(self, world):
        self.world = world
        self.rng = random.Random(world.schedule.users_seed)
        self.checker = world.checker
        self.number = 0
        self.accepted = []  # ids that later jobs may name
        self.is_closed = False

    # ---- requests ----

    async def _ask(self, node, method, job_id, path, value, timeout):
        clock = self.world.clock
        sent_at = clock.now()
        port = self.world.api_ports[node % len(self.world.nodes)]
        status, body = await review_standin.net.request(port, method, path, value, timeout)
        self.world.record(f"user: {method} {path} at {node % len(self.world.nodes)}: {status} {body}")
        self.checker.answered(clock.now(), sent_at, method, job_id, status, body or {})
        return status, body

    async def poll(self, job_id, node):
        return await self._ask(node, "GET", job_id, f"/work/{job_id}", None, POLL_TIMEOUT_S)

    async def submit(self, spec, node):
        return await self._ask(node, "POST", spec["Id"], "/work", spec, SUBMIT_TIMEOUT_S)

    async def cancel(self, job_id):
        """Repeats a cancellation at all nodes until it is answered."""
        self.checker.cancel_sent(job_id)
        node = self.rng.randrange(len(self.world.nodes))
        give_up_at = self.world.clock.now() + 4 * GIVE_UP_S
        while self.world.clock.now() < give_up_at:
            status, _ = await self._ask(node, "POST", job_id, f"/work/{job_id}/abort", {},
                                        SUBMIT_TIMEOUT_S)
            if status == 200:
                await self._look_closely(job_id)
                return
            node += 1
            await asyncio.sleep(1.0)

    def cancel_soon(self, job_id, after_s):
        async def run():
            await asyncio.sleep(after_s)
            await self.cancel(job_id)

        self.world.spawn(run())

    async def _look_closely(self, job_id):
        """Asks all nodes within milliseconds, and repeats the submission at one."""
        nodes = range(len(self.world.nodes))
        spec = self.checker.jobs[job_id].spec
        await asyncio.gather(*(self.poll(job_id, node) for node in nodes),
                             self.submit(spec, self.rng.choice(nodes)))

    # ---- one job ----

    async def _submit_until_answered(self, spec):
        give_up_at = self.world.clock.now() + GIVE_UP_S
        node = self.rng.randrange(len(self.world.nodes))
        while self.world.clock.now() < give_up_at:
            status, _ = await self.submit(spec, node)
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            node += 1
            await asyncio.sleep(1.0)
        return False

    async def _live(self, spec):
        rng = self.rng
        job = self.checker.jobs[spec["Id"]]
        if not await self._submit_until_answered(spec):
            return
        if spec["Form"] != "daemon":
            self.accepted.append(spec["Id"])
            del self.accepted[:-12]
        if rng.random() < 0.3:
            await self._look_closely(spec["Id"])
        cancel_share = 0.6 if spec["Form"] == "daemon" else 0.2
        if rng.random() < cancel_share:
            self.cancel_soon(spec["Id"], rng.choice((0.0, 0.3, 2.0, 8.0)))
        while True:
            await asyncio.sleep(POLL_S * rng.uniform(0.7, 1.3))
            await self.poll(spec["Id"], rng.randrange(len(self.world.nodes)))
            if job.final and rng.random() < 0.5:
                await self._look_closely(spec["Id"])
            if job.final and job.final[0] in TERMINAL and rng.random() < 0.3:
                return

    # ---- all jobs ----

    def _backlog(self, crew):
        return sum(
            job.spec["Vcpus"] * (job.spec["Pieces"] - len(job.completed))
            for job in self.checker.jobs.values()
            if job.spec["Crew"] == crew and not job.final and job.is_valid
        )

    def _service_use(self, crew):
        return sum(
            job.spec["Vcpus"] * job.spec["Pieces"]
            for job in self.checker.jobs.values()
            if job.spec["Crew"] == crew and job.spec["Form"] == "daemon" and not job.final
        )

    def _may_submit(self, spec):
        limit = self.checker.teams[spec["Crew"]]
        use = spec["Vcpus"] * spec["Pieces"]
        if spec["Form"] == "daemon" and self._service_use(spec["Crew"]) + use > MAX_SERVICE_SHARE * limit:
            return False
        return use <= limit and self._backlog(spec["Crew"]) < MAX_BACKLOG * limit

    def _add_job(self, spec, is_valid=True):
        self.world.jobs[spec["Id"]] = spec
        self.world.times[spec["Id"]] = (
            None if spec["Form"] == "daemon" else self.rng.choice(TASK_RUN_S)
        )
        self.checker.submitted(spec, is_valid)

    async def _send_odd_request(self):
        """A job that cannot run or lacks a field, or a question about one that was never sent."""
        self.number += 1
        spec = draw_job(self.rng, self.number, [])
        kind = self.rng.choice(("field", "team", "size", "unknown"))
        if kind == "unknown":
            await self.poll(f"wk-{self.number + 500000:06d}", self.rng.randrange(5))
            return
        if kind == "field":
            del spec["MemoryGb"]
        elif kind == "team":
            spec["Crew"] = "nobody"
        else:
            spec["Vcpus"] = 10000.0
        self.checker.submitted(spec, is_valid=False)
        await self.submit(spec, self.rng.randrange(5))

    async def run(self):
        """Submits until the troubles are over."""
        while not self.is_closed:
            self.number += 1
            spec = draw_job(self.rng, self.number, self.accepted)
            if self._may_submit(spec):
                self._add_job(spec)
                self.world.spawn(self._live(spec))
            if self.world.faults.hits("odd_requests"):
                self.world.spawn(self._send_odd_request())
            await asyncio.sleep(self.rng.uniform(0.05, 0.4) / max(1, len(self.world.cloud.machines) / 16))

    def close(self):
        self.is_closed = True

    async def ask_about_all(self):
        """Asks about every accepted job at some node; after the troubles."""
        for job in list(self.checker.jobs.values()):
            if job.is_accepted:
                await self.poll(job.id, self.rng.randrange(len(self.world.nodes)))

    def cancel_services(self):
        for job in list(self.checker.jobs.values()):
            if job.is_accepted and job.spec["Form"] == "daemon" and not job.final:
                self.world.spawn(self.cancel(job.id))


