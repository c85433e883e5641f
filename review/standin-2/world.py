"""Stand-ins of the state service, the cloud, the workers and the users, and the checks of the rules."""
import asyncio
import collections
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.environ.get("LL_ROOT") or os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
now = time.monotonic

FOLDERS = []      # temporary folders to remove at the end
HANG = object()   # no answer, the connection stays open
RESET = object()  # the connection is reset


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server; handler(method, path, query, body) returns (status, object) or HANG or RESET."""

    def __init__(self, handler, port=0):
        self.handler, self.port, self.writers = handler, port, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        self.server.close()
        for w in list(self.writers):
            w.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                answer = await self.handler(method, path, query, body)
                if answer is HANG:
                    await asyncio.sleep(3600)
                if answer is RESET:
                    writer.transport.abort()
                    return
                status, obj = answer
                text = json.dumps(obj, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            try:
                writer.close()
            except Exception:
                pass


async def http(address, method, path, obj=None, timeout=5.0, raw=None):
    """One request on a new connection; returns (status, object, headers) or None without an answer."""
    host, port = address.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        try:
            body = raw if raw is not None else (json.dumps(obj).encode() if obj is not None else b"")
            writer.write(("%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                          % (method, path, len(body))).encode() + body)
            await writer.drain()
            first, headers, data = await read_message(reader)
            status = int(first.split(" ")[1])
            try:
                return status, json.loads(data) if data else None, headers
            except ValueError:
                return status, None, headers
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


class Proxy:
    """A TCP proxy. mode: ok, refuse (resets), hold (keeps bytes back), drop (silent), delay seconds."""

    def __init__(self, target_port):
        self.target, self.mode, self.delay, self.links = target_port, "ok", 0.0, set()
        self.requests = collections.deque(maxlen=200)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def reset_all(self):
        for w in list(self.links):
            w.transport.abort()

    async def gate(self):
        while self.mode in ("hold", "drop"):
            await asyncio.sleep(0.02)
        if self.delay:
            await asyncio.sleep(self.delay)

    async def pump(self, reader, writer, is_request=False):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if is_request and data.startswith(b"POST"):
                    self.requests.append(data)
                if self.mode == "drop":
                    await asyncio.sleep(3600)
                await self.gate()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            try:
                writer.close()
            except Exception:
                pass

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        self.links.add(writer)
        try:
            await self.gate()
            r2, w2 = await asyncio.open_connection("127.0.0.1", self.target)
            self.links.add(w2)
            await asyncio.gather(self.pump(reader, w2, True), self.pump(r2, writer))
            self.links.discard(w2)
        except (ConnectionError, OSError):
            writer.transport.abort()
        finally:
            self.links.discard(writer)


class StateService:
    """The key-value store, as PROTOCOL describes it. One port for each node, so that a fault may concern one."""

    def __init__(self, world, txn_ops, value_kb, rps, write_rps, first_revision=1):
        self.w, self.txn_ops, self.value_kb, self.rps, self.write_rps = world, txn_ops, value_kb, rps, write_rps
        self.keys, self.rev, self.hist, self.leases, self.next_lease = {}, first_revision, collections.deque(), {}, 1
        self.changed = asyncio.Condition()
        self.tokens, self.wtokens, self.at = rps, write_rps, now()
        self.hooks = {}   # label -> async function(method, path, body) -> None, HANG, RESET or (status, obj)
        self.after = {}   # label -> async function(method, path, body, answer) -> answer
        self.down = False
        self.latency = 0.004
        self.counts = collections.Counter()
        self.compacted = 0

    def pages(self):
        """The sizes of the record pages."""
        return {k[5:]: len(json.dumps(v[0])) for k, v in sorted(self.keys.items()) if k.startswith("ll/p/")}

    async def start(self):
        self.servers = {}
        for label in self.w.labels:
            s = Server(lambda m, p, q, b, label=label: self.handle(label, m, p, q, b))
            self.servers[label] = await s.start()
        asyncio.ensure_future(self.expire())
        return self

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            t = now()
            if self.down:
                for l in self.leases.values():
                    l["until"] = t + l["ttl"]
                continue
            for lid in [i for i, l in self.leases.items() if l["until"] + 0.03 < t]:
                await self.end_lease(lid)

    async def end_lease(self, lid):
        self.leases.pop(lid, None)
        gone = [k for k, e in self.keys.items() if e[2] == lid]
        if gone:
            self.rev += 1
            for k in gone:
                del self.keys[k]
                self.log_change({"Remove": k, "Stamp": self.rev})
            await self.notify()

    def log_change(self, c):
        self.hist.append(c)
        while len(self.hist) > 10000:
            self.compacted = self.hist.popleft()["Stamp"]

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def take(self, writes):
        t = now()
        self.tokens = min(self.rps, self.tokens + (t - self.at) * self.rps)
        self.wtokens = min(self.write_rps, self.wtokens + (t - self.at) * self.write_rps)
        self.at = t
        if self.tokens < 1 or self.wtokens < writes:
            return False
        self.tokens -= 1
        self.wtokens -= writes
        return True

    async def handle(self, label, method, path, query, body):
        await asyncio.sleep(self.latency)
        if self.down:
            if path == "/watch":
                await self.watch_wait(query)
            return 503, {"error": "trouble"}
        hook = self.hooks.get(label)
        if hook:
            answer = await hook(method, path, body)
            if answer is not None:
                return answer
        answer = await self.execute(method, path, query, body)
        after = self.after.get(label)
        if after:
            answer = await after(method, path, body, answer)
        return answer

    async def watch_wait(self, query):
        end = now() + float(query.get("BlockMs", 0)) / 1000
        while now() < end and self.down:
            await asyncio.sleep(0.05)

    async def execute(self, method, path, query, body):
        self.counts[path.split("/")[1]] += 1
        obj = None
        if body:
            try:
                obj = json.loads(body)
            except ValueError:
                return 400, {"error": "malformed"}
        writes = obj.get("Writes", []) if path == "/txn" and isinstance(obj, dict) else []
        if not self.take(len(writes)):
            self.counts["429"] += 1
            return 429, {"error": "rate"}
        if path == "/txn":
            return await self.txn(obj, writes, len(body))
        if path.startswith("/keys/"):
            key = path[6:]
            e = self.keys.get(key)
            if not e:
                return 404, {"Ledger": self.rev}
            return 200, {"K": key, "V": e[0], "Stamp": e[1], "Mooring": e[2]}
        if path == "/keys":
            starts, after, page = query.get("Starts", ""), query.get("From", ""), min(1000, int(query.get("Page", 1000)))
            names = sorted(k for k in self.keys if k.startswith(starts) and k > after)
            items, size = [], 0
            for k in names[:page]:
                item = {"K": k, "V": self.keys[k][0], "Stamp": self.keys[k][1]}
                size += len(json.dumps(item))
                if size > 512 * 1024 and items:
                    break
                items.append(item)
            return 200, {"Items": items, "More": len(items) < len(names), "Ledger": self.rev}
        if path == "/grants":
            lid = self.next_lease
            self.next_lease += 1
            ttl = obj["TtlMs"] / 1000
            self.leases[lid] = {"ttl": ttl, "until": now() + ttl}
            return 200, {"Mooring": lid}
        if path.startswith("/grants/"):
            lid = int(path.split("/")[2])
            if lid not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                await self.end_lease(lid)
            else:
                self.leases[lid]["until"] = now() + self.leases[lid]["ttl"]
            return 200, {"Mooring": lid}
        if path == "/watch":
            return await self.watch(query)
        return 400, {"error": "malformed"}

    async def txn(self, obj, writes, size):
        if len(writes) > self.txn_ops or len(obj.get("When", [])) > 4 * self.txn_ops or size > 65536:
            return 400, {"error": "too large"}
        for wr in writes:
            if "Set" in wr and len(json.dumps(wr["V"], separators=(",", ":"))) > self.value_kb * 1024:
                return 400, {"error": "value too large"}
            if wr.get("Mooring") and wr["Mooring"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["K"] for c in obj.get("When", [])
                  if (self.keys[c["K"]][1] if c["K"] in self.keys else 0) != c["Stamp"]]
        if failed:
            return 409, {"failed": failed, "Ledger": self.rev}
        if writes:
            self.rev += 1
            for wr in writes:
                if "Set" in wr:
                    self.keys[wr["Set"]] = (wr["V"], self.rev, wr.get("Mooring", 0))
                    self.log_change({"Set": wr["Set"], "V": wr["V"], "Stamp": self.rev})
                elif wr["Remove"] in self.keys:
                    del self.keys[wr["Remove"]]
                    self.log_change({"Remove": wr["Remove"], "Stamp": self.rev})
            await self.notify()
        return 200, {"Ledger": self.rev}

    async def watch(self, query):
        starts, since, end = query.get("Starts", ""), int(query["From"]), now() + int(query.get("BlockMs", 0)) / 1000
        if since < self.compacted:
            return 410, {"error": "compacted"}
        while True:
            news = []
            for c in reversed(self.hist):
                if c["Stamp"] <= since:
                    break
                if (c.get("Set") or c.get("Remove")).startswith(starts):
                    news.append(c)
            news.reverse()
            if news and not self.down:
                return 200, {"Ledger": self.rev, "News": news}
            left = end - now()
            if left <= 0:
                if self.down:
                    return 503, {"error": "trouble"}
                return 200, {"Ledger": self.rev, "News": news}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Cloud:
    def __init__(self, world, types, lag, rps, capacity=1000):
        self.w, self.types, self.lag, self.rps, self.capacity = world, types, lag, rps, capacity
        self.machines, self.charters, self.n, self.down = {}, {}, 0, False
        self.tokens, self.at, self.snaps = 2 * rps, now(), []
        self.hook = None

    async def start(self):
        self.server = await Server(self.handle).start()
        return self

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.05)
        t = now()
        self.tokens = min(2 * self.rps, self.tokens + (t - self.at) * self.rps)
        self.at = t
        if self.down:
            return 503, {"error": "trouble"}
        if self.tokens < 1:
            return 429, {"error": "rate"}
        self.tokens -= 1
        obj = json.loads(body) if body else None
        if self.hook:
            answer = await self.hook(method, path, obj)
            if answer is not None:
                return answer
        return await self.execute(method, path, query, obj)

    async def execute(self, method, path, query, obj):
        if path == "/machine_types":
            return 200, {"Builds": self.types}
        if path == "/rentals/return":
            for m in obj["Masts"]:
                self.w.record("cloud_return", machine=m)
                mm = self.machines.pop(m, None)
                if mm:
                    await mm["worker"].end("returned")
            return 200, {}
        if path == "/rentals" and method == "POST":
            c = obj["Charter"]
            if c in self.charters:
                return 200, {"Masts": self.charters[c]}
            room = self.capacity - len(self.machines)
            if room <= 0:
                return 503, {"error": "no capacity"}
            names = []
            for _ in range(min(obj["Number"], room)):
                names.append(await self.rent(obj["Build"], obj["Yard"], obj["Loaners"]))
            self.charters[c] = names
            return 200, {"Masts": names}
        if path == "/rentals":
            at = now() - self.lag
            out = []
            for name in sorted(self.machines):
                m = self.machines[name]
                if name > query.get("From", "") and m["at"] < at:
                    out.append({"Id": name, "Address": m["worker"].address, "Build": m["build"], "Yard": m["yard"],
                                "Loaners": m["spot"], "Stage": "running" if m["worker"].up else "booting",
                                "HeldS": round(at - m["at"], 1)})
            page = min(500, int(query.get("Page", 500)))
            return 200, {"Masts": out[:page], "More": len(out) > page}
        return 400, {"error": "malformed"}

    async def rent(self, build, yard, spot):
        self.n += 1
        name = "host-%06d" % self.n
        worker = Worker(self.w, name, build, yard, spot)
        await worker.start()
        self.machines[name] = {"build": build, "yard": yard, "spot": spot, "at": now(), "worker": worker}
        self.w.record("cloud_rent", machine=name, build=build, yard=yard, spot=spot)
        self.w.workers[name] = worker
        boot = next(t for t in self.types if t["Label"] == build)["ReadyS"] * random.uniform(0.6, 1.2)
        asyncio.ensure_future(worker.run(boot))
        return name


class Task:
    def __init__(self, piece, attempt, job):
        self.piece, self.attempt, self.job = piece, attempt, job
        self.state, self.cause, self.stored, self.on_since, self.gang = "fetching", None, False, None, None


class Gang:
    """The tasks of one attempt of a gang."""

    def __init__(self, size):
        self.size, self.members, self.running, self.broken, self.done = size, set(), False, False, False

    def join(self, worker, t):
        self.members.add(t)
        t.gang = self
        if len(self.members) == self.size:
            self.running = True

    def leave(self, t, why):
        self.members.discard(t)
        if self.running and why != "done" and not self.done:
            self.broken = True


class Worker:
    """A machine with its worker."""

    def __init__(self, world, name, build, yard, spot):
        self.w, self.name, self.build, self.yard, self.spot = world, name, build, yard, spot
        self.shift, self.tally, self.helm, self.recall, self.tasks = 1, 0, 0, None, {}
        self.up, self.gone, self.images, self.cut, self.hung = False, False, set(), False, False
        self.type = next(t for t in world.types if t["Label"] == build)
        self.wake = asyncio.Event()
        self.lease_from = now()
        self.at_node = random.choice(world.labels)
        self.node_cut = set()     # labels that cannot be reached
        self.inbound = "ok"       # direct commands: ok, drop, hold
        self.life = 0
        self.old = collections.deque(maxlen=50)   # direct commands that were received
        self.old_reports = collections.deque(maxlen=50)

    async def start(self):
        self.server = await Server(self.handle).start()
        self.address = "127.0.0.1:%d" % self.server.port

    async def end(self, why):
        self.gone = True
        self.up = False
        for t in list(self.tasks.values()):
            self.off(t, why)
        self.tasks.clear()
        self.server.stop()

    def off(self, t, why):
        if t.on_since is not None:
            t.on_since = None
            if t.gang:
                t.gang.leave(t, why)
            self.w.task_off(self, t, why)

    def free(self):
        c, g, m = self.type["Vcpus"], self.type["Cards"], self.type["MemoryGb"]
        for t in self.tasks.values():
            if t.state != "exited":
                c -= t.job["Vcpus"]; g -= t.job["Cards"]; m -= t.job["MemoryGb"]
        return c, g, m

    def report(self):
        self.tally += 1
        pieces = []
        for t in self.tasks.values():
            p = {"Piece": t.piece, "Try": t.attempt, "Stage": t.state}
            if t.state == "exited":
                p["Cause"] = t.cause
                if t.stored:
                    p["Stored"] = True
            pieces.append(p)
        return {"Mast": self.name, "Address": self.address, "Build": self.build, "Yard": self.yard, "Loaners": self.spot,
                "Shift": self.shift, "Tally": self.tally, "Helm": self.helm, "RecallS": self.recall, "Pieces": pieces}

    async def handle(self, method, path, query, body):
        while self.inbound == "hold":
            await asyncio.sleep(0.05)
        if not self.up or self.cut or self.inbound == "drop":
            return HANG
        while self.hung:
            await asyncio.sleep(0.05)
        if path == "/status":
            return 200, self.report()
        obj = json.loads(body)
        self.old.append(obj)
        return self.commands(obj)

    def commands(self, obj):
        if "Helm" not in obj or "Shift" not in obj:
            return 400, {}
        self.w.record("commands", machine=self.name, helm=obj["Helm"], shift=obj["Shift"], orders=obj["Orders"])
        if obj["Helm"] < self.helm or obj["Shift"] != self.shift:
            return 409, self.report()
        self.see(obj["Helm"])
        self.obey(obj["Orders"])
        return 200, self.report()

    def see(self, helm):
        if helm > self.helm:
            self.helm = helm
            self.change()

    def change(self):
        self.wake.set()

    def obey(self, orders):
        for o in orders:
            key = (o["Piece"], o["Try"])
            t = self.tasks.get(key)
            if o["Verb"] == "run":
                if t:
                    continue
                self.begin(o["Piece"], o["Try"])
            elif o["Verb"] == "halt":
                if not t or t.state == "exited":
                    continue
                mark, stow = t.job["MarkEveryS"], t.job["StowS"]
                if t.state == "running" and mark > 0 and o["WindDownS"] >= stow:
                    t.state = "flushing"
                    asyncio.ensure_future(self.flush(t, stow))
                    self.change()
                else:
                    self.exit(t, "halted")
            elif o["Verb"] == "clear":
                if t and t.state == "exited":
                    del self.tasks[key]
                    self.change()

    async def flush(self, t, stow):
        await asyncio.sleep(stow)
        if t.state == "flushing" and not self.gone:
            t.stored = True
            self.exit(t, "halted")

    def exit(self, t, cause):
        t.state, t.cause = "exited", cause
        self.off(t, cause)
        self.change()

    def begin(self, piece, attempt):
        jid, index = piece.rsplit("/", 1)
        job = self.w.jobs.get(jid)
        t = Task(piece, attempt, job["spec"] if job else None)
        if not job or int(index) >= job["spec"]["Pieces"]:
            t.state, t.cause = "exited", "no_such"
            t.job = {"Vcpus": 0, "Cards": 0, "MemoryGb": 0}
        else:
            c, g, m = self.free()
            if any(o.piece == piece and o.state != "exited" for o in self.tasks.values()):
                t.state, t.cause = "exited", "busy"
            elif t.job["Vcpus"] > c + 1e-9 or t.job["Cards"] > g + 1e-9 or t.job["MemoryGb"] > m + 1e-9:
                t.state, t.cause = "exited", "no_room"
        self.tasks[(piece, attempt)] = t
        self.w.record("begin", machine=self.name, piece=piece, attempt=attempt, state=t.state, cause=t.cause)
        if t.state == "fetching":
            asyncio.ensure_future(self.play(t, self.shift))
        self.change()

    def here(self, t, shift):
        return not self.gone and self.tasks.get((t.piece, t.attempt)) is t

    async def wait(self, t, shift, seconds):
        """Waits while the machine runs; returns False if the task has ended meanwhile."""
        left = seconds
        while left > 0:
            step = min(0.05, left)
            await asyncio.sleep(step)
            if not self.here(t, shift) or t.state in ("exited", "flushing"):
                return False
            if not self.hung:
                left -= step
        return self.here(t, shift) and t.state not in ("exited", "flushing")

    async def play(self, t, shift):
        fetch = 0.05 if t.job["Mould"] in self.images else max(0.1, t.job["ImageGb"] / self.type["FetchGbPerS"])
        if not await self.wait(t, shift, fetch):
            return
        self.images.add(t.job["Mould"])
        t.on_since = now()
        self.w.task_on(self, t)
        if t.piece in self.w.finished:
            self.exit(t, "done")
            return
        if t.job["Form"] == "gang":
            t.state = "gathering"
            self.change()
            gang = self.w.gangs.setdefault((t.job["Id"], t.attempt), Gang(t.job["Pieces"]))
            gang.join(self, t)
            end = now() + self.w.gang_wait
            while not gang.running:
                if not await self.wait(t, shift, 0.2):
                    return
                if now() > end and not gang.running:
                    self.exit(t, "incomplete")
                    return
            t.state = "running"
            self.change()
            left = t.job["_run"]
            while left > 0:
                if not await self.wait(t, shift, 0.2):
                    return
                left -= 0.2
                if gang.broken:
                    self.exit(t, "peers")
                    return
            gang.done = True
        else:
            t.state = "running"
            self.change()
            if t.job["Form"] == "daemon":
                return
            end, cause = t.job["_run"], None
            while end > 0 and not cause:
                if not await self.wait(t, shift, min(0.1, end)):
                    return
                end -= 0.1
                cause = self.w.task_end and self.w.task_end(self, t)
            if cause and cause != "done":
                self.exit(t, cause)
                return
        self.w.finished.add(t.piece)
        self.exit(t, "done")

    async def run(self, boot):
        await asyncio.sleep(boot)
        if self.gone:
            return
        self.up = True
        self.lease_from = now()
        asyncio.ensure_future(self.lease_loop())
        last = 0
        while not self.gone:
            interval = self.w.report_s * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.wake.wait(), max(0.01, last + interval - now()))
            except asyncio.TimeoutError:
                pass
            if now() - last < 0.5:
                await asyncio.sleep(0.5 - (now() - last))
            while self.hung and not self.gone:
                await asyncio.sleep(0.05)
            if self.gone:
                return
            self.wake.clear()
            last = now()
            await self.beat()

    async def lease_loop(self):
        while not self.gone:
            await asyncio.sleep(0.05)
            if now() - self.lease_from > self.w.lease_s:
                for t in list(self.tasks.values()):
                    self.off(t, "lease")
                self.tasks.clear()
                self.shift += 1
                self.lease_from = now()
                self.w.record("shift", machine=self.name, shift=self.shift)
                self.change()

    def restart(self):
        """The machine restarts and is back at once."""
        self.w.record("machine_restart", machine=self.name)
        for t in list(self.tasks.values()):
            self.off(t, "restart")
        self.tasks.clear()
        self.shift, self.tally, self.helm, self.images = 1, 0, 0, set()
        self.lease_from = now()
        self.life += 1
        self.change()

    def other(self):
        labels = self.w.labels
        self.at_node = labels[(labels.index(self.at_node) + 1) % len(labels)]

    async def beat(self):
        sent, shift, life = now(), self.shift, self.life
        report = self.report()
        self.old_reports.append(report)
        if self.cut or self.at_node in self.node_cut:
            await asyncio.sleep(4)
            self.other()
            await asyncio.sleep(1)
            return
        answer = await http(self.w.api[self.at_node], "POST", "/agent/beat", report, 4.0)
        if self.gone:
            return
        if answer is None or answer[0] not in (200, 421):
            self.other()
            await asyncio.sleep(1)
            self.change()
            return
        status, obj, _ = answer
        if status == 421:
            to = (obj or {}).get("Harbour")
            if to in self.w.labels and to != self.at_node:
                self.at_node = to
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                self.other()
                await asyncio.sleep(1)
            self.change()
            return
        if shift != self.shift or life != self.life or self.hung or not isinstance(obj, dict):
            return
        helm = obj.get("Helm", 0)
        if helm < self.helm:
            return
        self.lease_from = sent
        if obj.get("Orders"):
            self.w.record("orders", machine=self.name, node=self.at_node, helm=helm, orders=obj["Orders"])
        self.see(helm)
        self.obey(obj.get("Orders", []))


class Node:
    def __init__(self, world, label, zone):
        self.w, self.label, self.zone, self.proc, self.exits = world, label, zone, None, 0

    def write(self, siblings):
        w = self.w
        lines = ['label = "%s"' % self.label, 'domain = "%s"' % self.zone, 'api_addr = "%s"' % w.api[self.label],
                 'back = "%s"' % w.back[self.label]]
        for s in siblings:
            lines += ["[[siblings]]", 'label = "%s"' % s.label, 'domain = "%s"' % s.zone,
                      'endpoint = "127.0.0.1:%d"' % w.bus[(self.label, s.label)].port]
        lines += ["[outside]", 'cloud = "127.0.0.1:%d"' % w.cloud.server.port,
                  'state = "127.0.0.1:%d"' % w.state.servers[self.label].port,
                  "[deployment]", "size = %d" % len(w.labels), "zones = %s" % json.dumps(w.zones), "clock_error_ms = 25.0"]
        for t in w.teams:
            lines += ["[[deployment.teams]]", 'name = "%s"' % t["name"], "cpus = %s" % t["cpus"], "cpus_max = %s" % t["cpus_max"],
                      "gpus = %s" % t.get("gpus", 0.0), "gpus_max = %s" % t.get("gpus_max", 0.0)]
        lines += ["[[deployment.objectives]]", 'kind = "guarantee"', "within_s = 5.0", "share = 0.97"]
        lines += ["[deployment.workers]", "report_s = %.1f" % w.report_s, "lease_s = %.1f" % w.lease_s,
                  "gang_wait_s = %.1f" % w.gang_wait, "gang_peer_s = 4.0", "cancel_s = %.1f" % w.cancel_s,
                  "[deployment.state]", "rps = %.1f" % w.state.rps, "write_rps = %.1f" % w.state.write_rps,
                  "value_kb = %.1f" % w.state.value_kb, "txn_ops = %d" % w.state.txn_ops,
                  *(["[deployment.state.next]"] + ["%s = %s" % i for i in w.next.items()] if w.next else []),
                  "[deployment.cloud]", "rps = %.1f" % w.cloud.rps, "list_lag_s = %.1f" % w.cloud.lag,
                  "[deployment.machine_limits]", "core_share = 0.08", "ram_mb = 72.0", "fd_limit = 1200"]
        self.path = os.path.join(w.tmp, self.label + ".toml")
        open(self.path, "w").write("\n".join(lines) + "\n")

    def start(self):
        log = open(os.path.join(self.w.tmp, self.label + ".log"), "a")
        self.proc = subprocess.Popen(["target/linenlandingd", "--features", "deploy/features.toml", "--config", self.path],
                                     cwd=ROOT, stderr=log, stdout=log, stdin=subprocess.DEVNULL,
                                     env=dict(os.environ, LOG_LEVEL=os.environ.get("LL_LOG", "info")))
        log.close()
        PROCESSES.append(self.proc)
        self.w.record("node_start", node=self.label, pid=self.proc.pid)

    def kill(self):
        if self.proc and self.proc.poll() is None:
            self.proc.send_signal(signal.SIGKILL)
            self.proc.wait()
            self.w.record("node_killed", node=self.label)

    def stop(self):
        self.proc.send_signal(signal.SIGSTOP)
        self.w.record("node_stopped", node=self.label)

    def cont(self):
        self.proc.send_signal(signal.SIGCONT)
        self.w.record("node_continued", node=self.label)


USED_PORTS = set()


def free_port():
    """A free port below those that outgoing connections use, so that a node can bind it again."""
    while True:
        p = random.SystemRandom().randint(10000, 32000)
        if p in USED_PORTS:
            continue
        USED_PORTS.add(p)
        s = socket.socket()
        try:
            s.bind(("127.0.0.1", p))
            return p
        except OSError:
            pass
        finally:
            s.close()


class World:
    def __init__(self, out, nodes=3, zones=("recife", "fortaleza"), report_s=3.0, lease_s=14.0, cancel_s=39.0, gang_wait=30.0,
                 teams=None, types=None, rps=100.0, write_rps=25.0, txn_ops=16, value_kb=8.0, cloud_rps=1.5, lag=8.0,
                 first_revision=1, capacity=28):
        self.out = open(out, "w")
        self.t0 = now()
        self.labels = ["mast-%d" % i for i in range(nodes)]
        self.zones = list(zones)
        self.report_s, self.lease_s, self.cancel_s, self.gang_wait = report_s, lease_s, cancel_s, gang_wait
        self.teams = teams or [{"name": "operacoes-%d" % i, "cpus": 24.0, "cpus_max": 56.0} for i in range(4)]
        self.types = types or [
            {"Label": "jangada", "Vcpus": 8, "Cards": 0, "MemoryGb": 16, "LocalGb": 35, "FetchGbPerS": 1.0, "Price": 0.5,
             "MarketPrice": 0.2, "ReadyS": 3, "Yards": list(zones)},
            {"Label": "caravela", "Vcpus": 32, "Cards": 0, "MemoryGb": 128, "LocalGb": 70, "FetchGbPerS": 1.0, "Price": 2.21,
             "MarketPrice": 0.96, "ReadyS": 4, "Yards": list(zones)}]
        self.jobs, self.workers, self.on, self.gangs, self.finished = {}, {}, {}, {}, set()
        self.next = None          # the limits that the state service will have later
        self.violations, self.task_end = [], None   # task_end(worker, task) gives the cause of an early end
        self.tmp = tempfile.mkdtemp(prefix="ll-")
        FOLDERS.append(self.tmp)
        self.state = StateService(self, txn_ops, value_kb, rps, write_rps, first_revision)
        self.cloud = Cloud(self, self.types, lag, cloud_rps, capacity)
        self.tasks, self.seen = set(), {}

    def record(self, event, **fields):
        self.out.write("%8.3f %s %s\n" % (now() - self.t0, event, json.dumps(fields, sort_keys=True)))

    def violate(self, rule, **fields):
        self.violations.append(rule)
        self.record("VIOLATION", rule=rule, **fields)
        self.out.flush()
        print("VIOLATION", rule, fields, flush=True)

    async def start(self, run_nodes=True):
        self.api = {l: "127.0.0.1:%d" % free_port() for l in self.labels}
        self.back = {l: "127.0.0.1:%d" % free_port() for l in self.labels}
        await self.state.start()
        await self.cloud.start()
        self.nodes, self.bus = {}, {}
        for i, l in enumerate(self.labels):
            self.nodes[l] = Node(self, l, self.zones[i % len(self.zones)])
            for o in self.labels:
                if o != l:
                    self.bus[(l, o)] = await Proxy(int(self.back[o].rsplit(":", 1)[1])).start()
        for l, n in self.nodes.items():
            n.write([self.nodes[o] for o in self.labels if o != l])
            if run_nodes:
                n.start()
        asyncio.ensure_future(self.watch_rules())

    async def ready(self, labels=None, timeout=20):
        end = now() + timeout
        for l in labels or self.labels:
            while True:
                a = await http(self.api[l], "GET", "/ready", timeout=1)
                if a and a[0] == 200:
                    break
                if now() > end:
                    return False
                await asyncio.sleep(0.1)
        return True

    # ---- rules ----
    def task_on(self, worker, t):
        jid = t.job["Id"]
        job = self.jobs[jid]
        self.record("on", machine=worker.name, piece=t.piece, attempt=t.attempt)
        others = self.on.setdefault(t.piece, {})
        if others:
            self.violate("ran_twice", piece=t.piece, machine=worker.name, attempt=t.attempt, also=list(others.items()))
        others[worker.name] = t.attempt
        job["on"].append((t.piece, worker))
        spec = job["spec"]
        job["started"] = True
        self.seen[t.piece] = self.seen.get(t.piece, 0) + 1
        if (spec.get("Builds") is not None and worker.build not in spec["Builds"]) or (spec.get("Yard") and spec["Yard"] != worker.yard) \
                or (worker.spot and not spec["Loaners"]):
            self.violate("wrong_place", piece=t.piece, machine=worker.name)
        if spec["OneZone"] and len({w.yard for _, w in job["on"]}) > 1:
            self.violate("wrong_place", piece=t.piece, why="OneZone")
        if spec["Apart"]:
            n = collections.Counter(w.yard for _, w in job["on"])
            if n[worker.yard] > (spec["Pieces"] + 1) // 2:
                self.violate("wrong_place", piece=t.piece, why="Apart", counts=dict(n))
        team = next(x for x in self.teams if x["name"] == spec["Crew"])
        used = sum(j["spec"]["Vcpus"] * len(j["on"]) for j in self.jobs.values() if j["spec"]["Crew"] == spec["Crew"])
        if used > team["cpus_max"] + 1e-6:
            self.violate("quota", team=team["name"], used=used, piece=t.piece)
        if job["cancel_told"] and now() > job["cancel_told"] + self.cancel_s:
            self.violate("ran_cancelled", piece=t.piece, why="start")
        for d in spec.get("Awaits", []):
            if self.jobs[d]["tasks_done"] < self.jobs[d]["spec"]["Pieces"]:
                self.violate("too_early", piece=t.piece, awaits=d)

    def task_off(self, worker, t, why):
        self.record("off", machine=worker.name, piece=t.piece, attempt=t.attempt, why=why)
        self.on.get(t.piece, {}).pop(worker.name, None)
        job = self.jobs[t.job["Id"]]
        job["on"] = [(p, w) for p, w in job["on"] if not (p == t.piece and w is worker)]
        if why == "done":
            job["done_pieces"].add(t.piece)
            job["tasks_done"] = len(job["done_pieces"])
            if job["tasks_done"] == job["spec"]["Pieces"]:
                job["all_done_at"] = now()

    async def watch_rules(self):
        while True:
            await asyncio.sleep(0.2)
            for jid, j in self.jobs.items():
                if j["cancel_told"] and j["on"] and now() > j["cancel_told"] + self.cancel_s and not j.get("flagged"):
                    j["flagged"] = True
                    self.violate("ran_cancelled", job=jid, on=[(p, w.name) for p, w in j["on"]])

    # ---- users ----
    def spec(self, jid, pieces=4, team=None, form="sweep", cpus=1.0, run=5.0, urgency="high", **over):
        s = {"Id": jid, "Lot": "train", "Crew": team or self.teams[0]["name"], "Form": form, "Urgency": urgency, "Pieces": pieces,
             "Vcpus": cpus, "Cards": 0.0, "MemoryGb": 1.0, "Mould": "img-1", "ImageGb": 0.5, "Builds": None, "Yard": None,
             "OneZone": False, "Apart": False, "Loaners": True, "ExpectedS": 0.0 if form == "daemon" else run, "MarkEveryS": 0.0,
             "StowS": 1.0, "DueS": None, "_run": run}
        s.update(over)
        return s

    def add_job(self, spec):
        self.jobs[spec["Id"]] = {"spec": spec, "accepted": None, "cancel_asked": None, "cancel_told": None, "last": None, "on": [],
                                 "tasks_done": 0, "done_pieces": set(), "all_done_at": None, "started": False, "fails_from": None}

    def pick(self):
        return random.choice(self.labels)

    async def submit(self, spec, node=None, timeout=60):
        self.add_job(spec) if spec["Id"] not in self.jobs else None
        job = self.jobs[spec["Id"]]
        body = {k: v for k, v in spec.items() if not k.startswith("_")}
        end = now() + timeout
        while now() < end:
            n = node or self.pick()
            a = await http(self.api[n], "POST", "/work", body, 5)
            self.record("submit", job=spec["Id"], node=n, answer=a and a[:2])
            if a and a[0] in (200, 201):
                job["accepted"] = job["accepted"] or now()
                self.check_stage(spec["Id"], a[1], n, now())
                return a
            if a and a[0] in (400, 422):
                if job["accepted"]:
                    self.violate("forgotten", job=spec["Id"], status=a[0])
                return a
            await asyncio.sleep(1)
        return None

    def check_stage(self, jid, obj, node, sent):
        job = self.jobs[jid]
        stage = obj.get("Stage")
        if job["last"] in ("done", "cancelled") and stage != job["last"] and job["last_at"] < sent:
            self.violate("went_back", job=jid, was=job["last"], now=stage, node=node)
        if stage == "cancelled" and not job["cancel_asked"] and not any(self.jobs[d]["cancel_asked"] for d in self.upstream(jid)):
            self.violate("went_back", job=jid, why="not cancelled by its user", node=node)
        if stage == "done" and job["tasks_done"] < job["spec"]["Pieces"]:
            self.violate("not_done", job=jid, node=node, done=job["tasks_done"])
        if stage in ("queued", "running"):
            for d in self.upstream(jid):
                told = self.jobs[d]["cancel_told"]
                if told and sent > told + self.cancel_s:
                    self.violate("orphaned", job=jid, stage=stage, upstream=d)
        if stage in ("done", "cancelled") and job["last"] not in ("done", "cancelled"):
            job["last"], job["last_at"] = stage, now()

    def upstream(self, jid):
        out, todo = set(), list(self.jobs[jid]["spec"].get("Awaits", []))
        while todo:
            d = todo.pop()
            if d not in out and d in self.jobs:
                out.add(d)
                todo += self.jobs[d]["spec"].get("Awaits", [])
        return out

    async def poll(self, jid, node=None, timeout=2):
        n = node or self.pick()
        sent = now()
        a = await http(self.api[n], "GET", "/work/" + jid, timeout=timeout)
        self.record("poll", job=jid, node=n, answer=a and a[:2])
        job = self.jobs.get(jid)
        if job is None:
            if a and a[0] == 200:
                self.violate("invented", job=jid)
            return a
        if a and a[0] == 404 and job["accepted"] and job["accepted"] < sent:
            self.violate("forgotten", job=jid, node=n)
        if a and a[0] == 200:
            self.check_stage(jid, a[1], n, sent)
        return a

    async def cancel(self, jid, node=None, timeout=60):
        job = self.jobs[jid]
        job["cancel_asked"] = job["cancel_asked"] or now()
        end = now() + timeout
        while now() < end:
            n = node or self.pick()
            a = await http(self.api[n], "POST", "/work/%s/abort" % jid, timeout=5)
            self.record("cancel", job=jid, node=n, answer=a and a[:2])
            if a and a[0] == 200:
                if a[1].get("Stage") == "cancelled" and not job["cancel_told"]:
                    job["cancel_told"] = now()
                self.check_stage(jid, a[1], n, now())
                return a
            if a and a[0] == 404 and job["accepted"]:
                self.violate("forgotten", job=jid, node=n, why="cancel")
            await asyncio.sleep(1)
        return None

    async def repeat_bus_request(self):
        """Sends a copy of an earlier message between nodes once more."""
        proxies = [p for p in self.bus.values() if p.requests]
        if not proxies:
            return
        p = random.choice(proxies)
        try:
            r, wr = await asyncio.open_connection("127.0.0.1", p.target)
            wr.write(random.choice(p.requests))
            await asyncio.sleep(1)
            wr.close()
        except OSError:
            pass

    def check_alive(self):
        for n in self.nodes.values():
            if n.proc and n.proc.poll() is not None and n.proc.returncode != -signal.SIGKILL:
                self.violate("crash", node=n.label, code=n.proc.returncode)

    def finish(self):
        self.check_alive()
        for n in self.nodes.values():
            if n.proc and n.proc.poll() is None:
                n.proc.send_signal(signal.SIGCONT)
                n.kill()
        self.record("end", violations=self.violations)
        self.out.close()


PROCESSES = []  # all nodes that were started


def run(main, seconds=112.0):
    """Runs main() and exits with its result: 1 if a rule was broken, 0 if not, 2 if it could not run."""
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(SystemExit(2)))
    try:
        code = asyncio.new_event_loop().run_until_complete(asyncio.wait_for(main(), seconds))
    except asyncio.TimeoutError:
        print("not finished in time", flush=True)
    finally:
        for p in PROCESSES:
            if p.poll() is None:
                p.kill()
                p.wait()
        if not os.environ.get("LL_KEEP"):
            for t in FOLDERS:
                shutil.rmtree(t, ignore_errors=True)
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(code if isinstance(code, int) else 2)
