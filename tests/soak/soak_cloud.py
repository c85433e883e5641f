"""A cloud that is slow, full, forgetful, or down."""
import asyncio
import random

import review_standin

from soak_worker import SoakWorker

NO_ANSWER = None


class SoakCloud(review_standin.cloud.Cloud):
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
