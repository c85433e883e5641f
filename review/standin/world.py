"""Real nodes of the service among stand-ins of users, workers, cloud and state service."""
import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time

from cloud import Cloud
from net import HOST, Proxy, free_port, request
from rules import Rules
from state import State

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class CannotRun(Exception):
    """The case could not be brought about; it says nothing about the rule."""


class World:
    """A small deployment with the figures of the site rede-palete-nordeste by default."""

    def __init__(self, record_path, settings=None, seed=1):
        self.file = open(record_path, "w", buffering=1)
        self.started = time.monotonic()
        self.rng = random.Random(seed)
        self.settings = {
            "zones": ["recife", "fortaleza"],
            "nodes": ["mast-0", "mast-1", "mast-2"],
            "domains": ["recife", "fortaleza", "recife"],
            "teams": {"operacoes-00": (24.0, 56.0), "operacoes-01": (24.0, 56.0)},
            "report_s": 3.0,
            "lease_s": 14.0,
            "gang_wait_s": 45.0,
            "gang_peer_s": 6.0,
            "cancel_s": 39.0,
            "rps": 100.0,
            "write_rps": 25.0,
            "value_kb": 8.0,
            "txn_ops": 16,
            "cloud_rps": 1.5,
            "list_lag_s": 8.0,
            "ram_mb": 72.0,
            "fd_limit": 1200,
            "extra": "",
        }
        self.settings.update(settings or {})
        s = self.settings
        self.nodes = s["nodes"]
        self.report_s, self.lease_s, self.cancel_s = s["report_s"], s["lease_s"], s["cancel_s"]
        self.fetch_s = 0.3
        self.jobs = {}  # what users uploaded: id -> submission
        self.times = {}  # id -> run time of its tasks; None: for ever
        self.failures = {}  # piece -> seconds until its next run fails, taken once
        self.command_hook = None
        self.trace_beats = False
        self.rules = Rules(self)
        self.state = State(self.record)
        self.api_ports = [free_port() for _ in self.nodes]
        self.back_ports = [free_port() for _ in self.nodes]
        self.links = {}  # (from, to) -> Proxy, between nodes
        self.processes = [None] * len(self.nodes)
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.cloud = None

    def now(self):
        return time.monotonic() - self.started

    def record(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    # ---- nodes ----

    async def start(self, types, capacity, boot_s=1.0, machines=(), after_s=0.0):
        """Starts the stand-ins and, `after_s` later, the nodes; `machines` are up at the start."""
        self.cloud = Cloud(self, types, capacity, boot_s, self.settings["list_lag_s"])
        await self.cloud.start()
        await self.state.start(self.nodes)
        for i in range(len(self.nodes)):
            for j in range(len(self.nodes)):
                if i != j:
                    self.links[(i, j)] = Proxy(self.back_ports[j])
                    await self.links[(i, j)].start()
        for offer in machines:
            await self.cloud.add(offer)
        await asyncio.sleep(after_s)
        for i in range(len(self.nodes)):
            self.start_node(i)
        await self.until(self.all_ready, 20, "the nodes become ready")

    async def all_ready(self):
        for port in self.api_ports:
            if (await request(port, "GET", "/ready", timeout=1.0))[0] != 200:
                return False
        return True

    def _write_settings(self, i):
        s = self.settings
        lines = [
            f'label = "{self.nodes[i]}"',
            f'domain = "{s["domains"][i]}"',
            f'api_addr = "{HOST}:{self.api_ports[i]}"',
            f'back = "{HOST}:{self.back_ports[i]}"',
        ]
        for j, name in enumerate(self.nodes):
            if j != i:
                lines += [
                    "[[siblings]]",
                    f'label = "{name}"',
                    f'domain = "{s["domains"][j]}"',
                    f'endpoint = "{HOST}:{self.links[(i, j)].port}"',
                ]
        lines += [
            "[outside]",
            f'cloud = "{self.cloud.server.address}"',
            f'state = "{self.state.servers[self.nodes[i]].address}"',
            "[deployment]",
            f"size = {len(self.nodes)}",
            f"zones = {json.dumps(s['zones'])}",
            "clock_error_ms = 250.0",
        ]
        for name, (cpus, most) in s["teams"].items():
            lines += [
                "[[deployment.teams]]",
                f'name = "{name}"',
                f"cpus = {cpus}",
                f"cpus_max = {most}",
                "gpus = 0.0",
                "gpus_max = 0.0",
            ]
        lines += [
            "[[deployment.objectives]]",
            'kind = "guarantee"',
            "within_s = 10.0",
            "share = 0.93",
            "[deployment.workers]",
            f"report_s = {s['report_s']}",
            f"lease_s = {s['lease_s']}",
            f"gang_wait_s = {s['gang_wait_s']}",
            f"gang_peer_s = {s['gang_peer_s']}",
            f"cancel_s = {s['cancel_s']}",
            "[deployment.state]",
            f"rps = {s['rps']}",
            f"write_rps = {s['write_rps']}",
            f"value_kb = {s['value_kb']}",
            f"txn_ops = {s['txn_ops']}",
            s["extra"],
            "[deployment.cloud]",
            f"rps = {s['cloud_rps']}",
            f"list_lag_s = {s['list_lag_s']}",
            "[deployment.machine_limits]",
            "core_share = 0.08",
            f"ram_mb = {s['ram_mb']}",
            f"fd_limit = {s['fd_limit']}",
        ]
        path = os.path.join(self.dir, f"{self.nodes[i]}.toml")
        with open(path, "w") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start_node(self, i):
        import subprocess

        log = open(os.path.join(self.dir, f"{self.nodes[i]}.log"), "ab")
        self.processes[i] = subprocess.Popen(
            ["target/linenlandingd", "--features", "deploy/features.toml", "--config",
             self._write_settings(i)],
            cwd=ROOT, stderr=log, stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL,
            env=dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info")),
        )
        self.record(f"node {self.nodes[i]} started, pid {self.processes[i].pid}")

    def kill_node(self, i):
        self.processes[i].kill()
        self.processes[i].wait()
        self.record(f"node {self.nodes[i]} killed")

    def pause_node(self, i):
        self.processes[i].send_signal(signal.SIGSTOP)
        self.record(f"node {self.nodes[i]} stands still")

    def resume_node(self, i):
        self.processes[i].send_signal(signal.SIGCONT)
        self.record(f"node {self.nodes[i]} goes on")

    def leader(self):
        entry = self.state.keys.get("ll/leader")
        return next((i for i, n in enumerate(self.nodes) if entry and n in json.dumps(entry[0])), None)

    def epoch(self):
        return self.state.keys["ll/map"][0] if "ll/map" in self.state.keys else None

    def stop(self):
        for process in self.processes:
            if process and process.poll() is None:
                process.kill()
                process.wait()
        for i, name in enumerate(self.nodes):
            path = os.path.join(self.dir, f"{name}.log")
            if os.path.exists(path):
                with open(path, errors="replace") as log:
                    for line in log:
                        self.file.write(f"log {line.rstrip()}\n")
        for name in os.listdir(self.dir):
            os.unlink(os.path.join(self.dir, name))
        os.rmdir(self.dir)

    # ---- users ----

    def job(self, number, **fields):
        job = {
            "Id": f"wk-{number:06d}", "Lot": "deposit-recon", "Crew": "operacoes-00",
            "Form": "sweep", "Urgency": "high", "Pieces": 1, "Vcpus": 4.0, "Cards": 0.0,
            "MemoryGb": 6.1, "Mould": "img-01", "ImageGb": 0.1, "Builds": None, "Yard": None,
            "OneZone": False, "Apart": False, "Loaners": False, "ExpectedS": 20.0,
            "MarkEveryS": 0.0, "StowS": 0.0, "DueS": None,
        }
        job.update(fields)
        return job

    async def submit(self, job, run_s, node=0, tries=40):
        self.jobs[job["Id"]] = job
        self.times[job["Id"]] = run_s
        for k in range(tries):
            status, answer = await self.ask(node + k, "POST", "/work", job)
            if status in (200, 201):
                self.rules.accepted(job)
                return answer
            await asyncio.sleep(1.0)
        raise CannotRun(f"{job['Id']} is not accepted")

    async def ask(self, node, method, path, value=None, timeout=5.0):
        node %= len(self.nodes)
        self.record(f"user asks {self.nodes[node]}: {method} {path}")
        status, answer = await request(self.api_ports[node], method, path, value, timeout)
        self.record(f"user is answered by {self.nodes[node]}: {method} {path}: {status} {answer}")
        self.rules.answered(method, path, status, answer)
        return status, answer

    async def poll(self, id, node=0):
        return await self.ask(node, "GET", f"/work/{id}", timeout=2.0)

    async def abort(self, id, node=0, tries=40):
        for k in range(tries):
            status, answer = await self.ask(node + k, "POST", f"/work/{id}/abort", {})
            if status == 200:
                return answer
            await asyncio.sleep(1.0)
        raise CannotRun(f"{id} is not cancelled")

    # ---- tasks ----

    def run_s(self, piece):
        return self.times[piece.rsplit("/", 1)[0]]

    def fails(self, worker, task):
        return self.failures.pop(task.piece, 0)

    async def until(self, condition, seconds, what):
        end = self.now() + seconds
        while self.now() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.02)
        raise CannotRun(f"in {seconds} s it did not happen that {what}")


def main(scenario, record_path, trouble, **kwargs):
    """Runs a scenario, a coroutine of (world, trouble).

    Exits with 1 if a rule was broken, 0 if none was, 2 if the case could not run.
    """

    async def run():
        world = World(record_path, **kwargs)
        code = 2
        try:
            await asyncio.wait_for(scenario(world, trouble), 112)
            code = 1 if world.rules.broken else 0
        except (CannotRun, asyncio.TimeoutError) as error:
            code = 1 if world.rules.broken else 2
            world.record(f"the case could not run to its end: {error!r}")
        except Exception as error:  # the stand-ins failed, so the rule was not tested
            import traceback

            world.record("stand-in failed: " + traceback.format_exc())
        finally:
            world.record(f"result: exit {code}, broken: {world.rules.broken}")
            world.stop()
        return code

    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)
