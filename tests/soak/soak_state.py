"""The state service, as unkind as PROTOCOL and DEPLOY allow."""
import asyncio
import json
import random

import review_standin

MAX_TRANSACTION_BYTES = 64 * 1024
NO_ANSWER = None


class SoakState(review_standin.state.State):
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
