"""A stand-in of the cloud, as PROTOCOL describes it ("Controller nodes -> cloud")."""
import asyncio
import json

from net import Server
from worker import Worker


class Cloud:
    """Rents machines, each with a stand-in worker. Lists lag by `lag_s`."""

    def __init__(self, world, types, capacity, boot_s=1.0, lag_s=8.0):
        self.world = world
        self.types = types
        self.capacity = capacity  # (build, yard, loaners) -> machines that may still be rented
        self.boot_s = boot_s
        self.lag_s = lag_s
        self.charters = {}
        self.machines = {}  # name -> Worker
        self.history = [(0.0, [])]  # (time, list of machines)
        self.count = 0
        self.outage = False
        self.server = Server(self._handle)

    async def start(self):
        await self.server.start()

    async def add(self, offer):
        """Adds a machine that is up already."""
        self.count += 1
        worker = Worker(self.world, f"host-{self.count:06d}", *offer)
        self.machines[worker.name] = worker
        await worker.start()
        self._snapshot()

    def _snapshot(self):
        now = self.world.now()
        rows = []
        for w in self.machines.values():
            rows.append((w.name, w.address, w.build, w.yard, w.loaners, w.stage, w.rented_at))
        self.history.append((now, rows))

    async def _handle(self, method, path, query, body):
        if self.outage:
            return 503, {"error": "trouble"}
        if path == "/machine_types":
            return 200, {"Builds": self.types}
        if path == "/rentals" and method == "GET":
            return self._list(query)
        value = json.loads(body)
        if path == "/rentals/return":
            for name in value["Masts"]:
                worker = self.machines.pop(name, None)
                if worker:
                    self.world.record(f"cloud returned {name}")
                    self.capacity[(worker.build, worker.yard, worker.loaners)] += 1
                    worker.remove()
            self._snapshot()
            return 200, {}
        return await self._rent(value)

    async def _rent(self, value):
        name = value["Charter"]
        if name in self.charters:
            return 200, {"Masts": self.charters[name]}
        offer = (value["Build"], value["Yard"], value["Loaners"])
        number = min(value["Number"], self.capacity.get(offer, 0), 50)
        if number <= 0:
            return 503, {"error": "no capacity"}
        self.capacity[offer] -= number
        names = []
        for _ in range(number):
            self.count += 1
            worker = Worker(self.world, f"host-{self.count:06d}", *offer)
            self.machines[worker.name] = worker
            names.append(worker.name)
            asyncio.get_running_loop().create_task(self._boot(worker))
        self.charters[name] = names
        self.world.record(f"cloud rented {names} {offer} for {name}")
        self._snapshot()
        return 200, {"Masts": names}

    async def _boot(self, worker):
        await asyncio.sleep(self.boot_s)
        if worker.name in self.machines:
            await worker.start()
            self._snapshot()

    def _list(self, query):
        now = self.world.now()
        rows = [rows for t, rows in self.history if t <= now - self.lag_s]
        rows = sorted(r for r in (rows[-1] if rows else []) if r[0] > query.get("From", ""))
        page = min(int(query.get("Page", "500")), 500)
        fields = ("Id", "Address", "Build", "Yard", "Loaners", "Stage")
        masts = [
            dict(zip(fields, r[:6]), HeldS=max(0.0, now - self.lag_s - r[6])) for r in rows[:page]
        ]
        return 200, {"Masts": masts, "More": len(rows) > page}
