"""The troubles under way, and the clock by which limits of the rules count."""
import asyncio


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
