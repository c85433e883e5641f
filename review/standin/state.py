"""A stand-in of the state service, as PROTOCOL describes it ("Controller nodes -> state service").

Every node has a port of its own, so that a test can refuse or hold back one node alone.
"""
import asyncio
import json

from net import Server


class State:
    def __init__(self, record):
        self.record = record
        self.keys = {}  # key -> (value, stamp, mooring)
        self.ledger = 1
        self.changes = []  # (revision, {"Set"...} or {"Remove"...})
        self.leases = {}  # mooring -> [ttl, expires]
        self.next_lease = 100
        self.changed = asyncio.Condition()
        self.servers = {}
        self.mode = {}  # node -> None, "refuse" (503), "silent"
        self.outage = False
        self.txn_hook = None  # coroutine(node, body, run): may delay a transaction or its answer
        self.watch_delay = {}  # node -> seconds before an answer to a watch is sent
        self.refusal_s = 0.0  # before every 503
        self.requests = {}  # node -> requests so far

    async def start(self, nodes):
        for node in nodes:
            self.servers[node] = Server(lambda m, p, q, b, node=node: self._handle(node, m, p, q, b))
            await self.servers[node].start()
        asyncio.get_running_loop().create_task(self._expire())

    async def _expire(self):
        loop = asyncio.get_running_loop()
        last = loop.time()
        while True:
            await asyncio.sleep(0.02)
            now = loop.time()
            if self.outage:  # every lease has its full time again afterwards
                for lease in self.leases.values():
                    lease[1] = now + lease[0]
            last = now
            ended = [i for i, lease in self.leases.items() if lease[1] <= now]
            for i in ended:
                await self._end_lease(i)

    async def _end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [k for k, v in self.keys.items() if v[2] == lease]
        if gone:
            await self._apply([{"Remove": k} for k in gone])

    async def _apply(self, writes):
        self.ledger += 1
        for w in writes:
            if "Set" in w:
                self.keys[w["Set"]] = (w["V"], self.ledger, w.get("Mooring"))
                self.changes.append({"Set": w["Set"], "V": w["V"], "Stamp": self.ledger})
            elif w["Remove"] in self.keys:
                del self.keys[w["Remove"]]
                self.changes.append({"Remove": w["Remove"], "Stamp": self.ledger})
        del self.changes[:-10000]
        async with self.changed:
            self.changed.notify_all()

    async def txn(self, body):
        failed = [
            c["K"]
            for c in body.get("When", [])
            if (self.keys[c["K"]][1] if c["K"] in self.keys else 0) != c["Stamp"]
        ]
        writes = body.get("Writes", [])
        if any("Mooring" in w and w["Mooring"] not in self.leases for w in writes if "Set" in w):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "Ledger": self.ledger}
        if writes:
            await self._apply(writes)
        return 200, {"Ledger": self.ledger}

    async def _handle(self, node, method, path, query, body):
        self.requests[node] = self.requests.get(node, 0) + 1
        mode = self.mode.get(node)
        if mode == "silent":
            return None
        if (self.outage or mode == "refuse") and path != "/watch":
            if self.refusal_s:
                await asyncio.sleep(self.refusal_s)
            return 503, {"error": "trouble"}
        if path == "/txn":
            value = json.loads(body)
            if self.txn_hook:
                return await self.txn_hook(node, value, self.txn)
            return await self.txn(value)
        if path == "/watch":
            return await self._watch(node, query)
        if path.startswith("/grants"):
            return await self._grants(method, path, body)
        if path == "/keys":
            return self._range(query)
        key = path[len("/keys/") :]
        if key in self.keys:
            value, stamp, mooring = self.keys[key]
            return 200, {"K": key, "V": value, "Stamp": stamp, "Mooring": mooring}
        return 404, {"Ledger": self.ledger}

    def _range(self, query):
        starts, after = query.get("Starts", ""), query.get("From", "")
        page = min(int(query.get("Page", "1000")), 1000)
        names = sorted(k for k in self.keys if k.startswith(starts) and k > after)
        items, size = [], 0
        for name in names[:page]:
            item = {"K": name, "V": self.keys[name][0], "Stamp": self.keys[name][1]}
            size += len(json.dumps(item))
            if size > 500 * 1024:
                break
            items.append(item)
        return 200, {"Items": items, "More": len(items) < len(names), "Ledger": self.ledger}

    async def _watch(self, node, query):
        starts, since = query.get("Starts", ""), int(query["From"])
        loop = asyncio.get_running_loop()
        until = loop.time() + min(int(query.get("BlockMs", "0")), 60000) / 1000
        while True:
            blocked = self.outage or self.mode.get(node) == "refuse"
            if not blocked:
                if self.changes and since < self.changes[0]["Stamp"] - 1 and len(self.changes) >= 10000:
                    return 410, {"error": "too old"}
                news = [
                    c
                    for c in self.changes
                    if c["Stamp"] > since and (c.get("Set") or c.get("Remove")).startswith(starts)
                ]
                if news or loop.time() >= until:
                    answer = {"Ledger": self.ledger, "News": news}
                    if self.watch_delay.get(node):
                        await asyncio.sleep(self.watch_delay[node])
                    return 200, answer
            async with self.changed:
                try:
                    wait = 0.1 if blocked else max(0.001, min(until - loop.time(), 1.0))
                    await asyncio.wait_for(self.changed.wait(), wait)
                except asyncio.TimeoutError:
                    pass

    async def _grants(self, method, path, body):
        now = asyncio.get_running_loop().time()
        parts = path.split("/")
        if method == "POST" and len(parts) == 2:
            self.next_lease += 1
            ttl = json.loads(body)["TtlMs"] / 1000
            self.leases[self.next_lease] = [ttl, now + ttl]
            return 200, {"Mooring": self.next_lease}
        lease = int(parts[2])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            await self._end_lease(lease)
        else:
            self.leases[lease][1] = now + self.leases[lease][0]
        return 200, {"Mooring": lease}
