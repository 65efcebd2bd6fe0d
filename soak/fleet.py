"""One soak run: node processes, a fake store and targets, callers, faults."""

import asyncio
import json
import os
import random
import signal
import subprocess
import tempfile
import time
from typing import NamedTuple

import budget
import fakes
from faults import Faults

TOP_K, MIN_SHARE, GOAL_MS, TIMEOUT_MS = 5, 0.75, 150, 1500
MAX_ATTEMPTS = 2
SERVICE_TIME_S = 0.004
# A caller gives up after this time; no request may be held longer.
CALLER_TIMEOUT_S = 4.0
ROUTES = {"all": "/all/", "one": "/one/", "once": "/once/"}
MIN_RECOVERED_SHARE = 0.9
# How many poison requests may still crash a target later than LATE_AFTER_S
# after the third crash.
MAX_LATE_POISON_REQUESTS, LATE_AFTER_S = 3, 4.0
# A node counts as in touch this long after its last fault.
IN_TOUCH_AFTER_S = 4.0


class Shape(NamedTuple):
    """Size of a deployment and how it is asked.

    Callers each have one request in flight; with a rate, requests are sent at
    that many per second however long they take. A caller that was not served
    repeats the request once, at another node.
    """
    shards: int
    zones: tuple
    target_zones: int  # zones that hold targets of the shards
    single_targets: int
    callers: int
    rate: float = 0
    repeats: int = 0
    cold_ms: int = 0
    cold_per_s: float = 0


SHAPES = {
    "small": Shape(8, ("za", "zb", "zc"), 3, 6, 12),
    # Few targets, each asked by all nodes all the time.
    "narrow": Shape(2, ("za", "zb", "zc"), 2, 2, 40),
    "site": Shape(50, ("za", "zb", "zc", "zd"), 2, 13, 0, rate=25, repeats=1,
                  cold_ms=3000, cold_per_s=20),
}


class Request(NamedTuple):
    """A caller's request. Its services are those of the configuration."""
    at: float
    node: int
    kind: str
    services: tuple
    max_attempts: int
    deadline_s: float
    in_touch: bool


class Fleet(Faults):
    """Nodes, fakes, callers and recorded results of one seed."""

    def __init__(self, program, seed, args):
        self.program, self.args = program, args
        self.shape = SHAPES[args.shape]
        self.rng = random.Random(seed)
        self.dir = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        self.store, self.execution_log = (fakes.Store(),
                                          fakes.ExecutionLog())
        self.targets, self.proxies, self.procs = [], {}, {}
        self.answers, self.violations, self.not_run_ids = [], [], []
        self.version, self.shard_prefix = 1, "s"
        self.stopping, self.timeout_ms = False, TIMEOUT_MS
        self.timed_out, self.requests, self.stdout = 0, {}, None
        self.limits = {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        self.fault_at = [0.0] * args.nodes
        self.store_fault_at, self.tasks, self.conns = 0.0, set(), {}

    # Fake targets and store.

    async def add_target(self, service, zone):
        target = fakes.Target(f"i{len(self.targets)}", service, zone,
                              self.execution_log, SERVICE_TIME_S)
        target.on_crash = self.crash_target
        if self.procs and service != "single":
            target.cold_left_ms = self.shape.cold_ms
        await target.start()
        proxy = fakes.Proxy(lambda: target.port)
        await proxy.start()
        self.targets.append(target)
        self.proxies[target.id] = proxy
        self.publish(target)
        return target

    def publish(self, target):
        addr = f"127.0.0.1:{self.proxies[target.id].port}"
        self.store.put(f"servers/{target.id}", target.entry(addr))

    async def add_shards(self, name):
        for i in range(self.shape.shards):
            for j in range(2):
                zone = (i + j) % self.shape.target_zones
                await self.add_target(f"{name}{i}", self.shape.zones[zone])

    def shard_services(self):
        return tuple(f"{self.shard_prefix}{i}"
                     for i in range(self.shape.shards))

    def configure(self):
        common = {"host": "h.example", "timeout_ms": self.timeout_ms,
                  "goal_ms": GOAL_MS, "priority": 1, "max_attempts": MAX_ATTEMPTS}
        shards = list(self.shard_services())
        routes = [
            dict(common, name="all", prefix=ROUTES["all"], kind="idempotent",
                 gather=shards, top_k=TOP_K, min_share=MIN_SHARE),
            dict(common, name="one", prefix=ROUTES["one"], kind="idempotent",
                 service="single"),
            dict(common, name="once", prefix=ROUTES["once"],
                 kind="non_idempotent", service="single")]
        services = [{"name": n, "health_path": "/health", "max_conns": 60,
                     "protocol": "h1", "tls": False,
                     "warmup_s": self.shape.cold_ms / 1000,
                     "cold_per_s": self.shape.cold_per_s}
                    for n in shards + ["single"]]
        self.store.put("op/config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": self.limits})

    # Nodes.

    def ip(self, node):
        return f"127.0.{self.args.net}.{node + 1}"

    def zone(self, number):
        return self.shape.zones[number % len(self.shape.zones)]

    def start_node(self, node):
        self.fault_at[node] = time.monotonic()
        ip, port = self.ip(node), self.args.port
        path = os.path.join(self.dir, f"node{node}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({
                "node_name": f"node{node}", "ip": ip,
                "zone": self.zone(node), "internal_ports": [port, port + 9],
                "listen": {"front": f"{ip}:{port + 11}",
                           "ready": f"{ip}:{port + 12}"},
                "seeds": [f"{self.ip(0)}:1", f"{self.ip(1)}:1"],
                "limits": {"cpu_share": 1, "cores": 1, "memory_mb": 260},
                "bounds": {"drain_ms": 3000, "grace_s": 3,
                           "budget_ratio": budget.RATIO,
                           "budget_window_s": budget.WINDOW_S,
                           "budget_extra": budget.EXTRA},
                "platform": {"addr": f"127.0.0.1:{self.store_proxy.port}"},
            }, file)
        log = open(os.path.join(self.dir, f"node{node}.log"), "ab")
        self.procs[node] = subprocess.Popen(
            [self.program, "tier"], stdout=self.stdout or log, stderr=log,
            env=dict(os.environ, WASABIMOOR_CONFIG=path))
        log.close()

    def signal_node(self, node, number):
        proc = self.procs.get(node)
        self.fault_at[node] = time.monotonic()
        if proc and proc.poll() is None:
            proc.send_signal(number)

    # Callers.

    def report(self, text):
        self.violations.append(text)

    def record_request(self, node, kind, request_id):
        now = time.monotonic()
        calm_since = max(self.fault_at[node], self.store_fault_at)
        self.requests[request_id] = Request(
            now, node, kind,
            self.shard_services() if kind == "all" else ("single",),
            MAX_ATTEMPTS, TIMEOUT_MS / 1000,
            not self.store.down and not self.store_proxy.stalled
            and now - calm_since > IN_TOUCH_AFTER_S)

    async def open_conn(self, node):
        """Callers keep open connections until the process closes them."""
        idle = self.conns.setdefault(node, [])
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.wait_for(asyncio.open_connection(
            self.ip(node), self.args.port + 11), 1.0)

    async def send_request(self, node, kind, request_id, path=None,
                           headers=""):
        """Send one request with further header lines; (status, headers,
        body)."""
        self.record_request(node, kind, request_id)
        reader, writer = await self.open_conn(node)
        body = b"x" * 40 if kind == "once" else b""
        method = "POST" if kind == "once" else "GET"
        head = (f"{method} {ROUTES[kind]}{path or request_id} HTTP/1.1\r\n"
                f"Host: h.example\r\nRequest-Id: {request_id}\r\n"
                f"Request-Deadline: {self.timeout_ms}\r\n{headers}"
                f"Content-Length: {len(body)}\r\n\r\n")
        try:
            writer.write(head.encode() + body)
            reply = await fakes.read_head(reader)
            if not reply:
                return None
            body = await fakes.read_body(reader, reply[1])
            if reply[1].get("connection", "").lower() != "close":
                self.conns[node].append((reader, writer))
                writer = None
            return int(reply[0].split()[1]), reply[1], body
        finally:
            if writer:
                writer.close()

    async def call(self, node, kind, request_id, path=None):
        """Send one request and check its reply; (served, reply)."""
        start = time.monotonic()
        try:
            reply = await asyncio.wait_for(
                self.send_request(node, kind, request_id, path),
                CALLER_TIMEOUT_S)
        except asyncio.TimeoutError:
            reply = "timed out"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            reply = None
        if not path:
            self.check_reply(kind, request_id, reply)
            self.answers.append((start, kind, reply))
        return reply not in (None, "timed out") and reply[0] == 200

    async def call_with_repeats(self, request_id, kind, path=None):
        """A request, and its repeats at other nodes while it fails."""
        node = self.rng.randrange(self.args.nodes)
        for attempt in range(1 + self.shape.repeats):
            if await self.call(node, kind, f"{request_id}-{attempt}", path):
                return
            node = (node + 1) % self.args.nodes

    def random_kind(self):
        return self.rng.choice(("all", "all", "one", "once"))

    async def run_caller(self, number):
        count = 0
        while not self.stopping:
            await self.call_with_repeats(f"{os.getpid()}-c{number}-{count}",
                                         self.random_kind())
            count += 1
            await asyncio.sleep(self.rng.uniform(0.005, 0.05))

    def start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_arrivals(self):
        """Requests at the shape's rate, however long they take."""
        count = 0
        while not self.stopping:
            self.start_task(self.call_with_repeats(
                f"{os.getpid()}-a{count}", self.random_kind()))
            count += 1
            await asyncio.sleep(self.rng.expovariate(self.shape.rate))

    async def run_poison_caller(self):
        """Send poison requests, which crash each target that runs them."""
        count = 0
        while not self.stopping:
            await self.call_with_repeats(
                f"{os.getpid()}-{fakes.POISON_PATH}-{count}", "all",
                fakes.POISON_PATH)
            count += 1
            await asyncio.sleep(self.rng.uniform(0.1, 0.8)
                                * self.args.poison_gap)

    def check_poison(self):
        crashes = sorted(self.execution_log.crashes)
        if len(crashes) < 3:
            return
        late = {r for t, r in crashes if t > crashes[2][0] + LATE_AFTER_S}
        if len(late) > MAX_LATE_POISON_REQUESTS:
            in_touch = sum(self.requests[r].in_touch for r in late)
            self.report(f"{len(late)} poison requests ran too late, "
                        f"{len(crashes)} target crashes, {in_touch} of them "
                        "sent to nodes in touch")

    def check_reply(self, kind, request_id, reply):
        if reply in (None, "timed out"):
            return
        status, headers, body = reply
        if not 200 <= status <= 599 or "x-broken" in headers:
            self.report(f"{request_id}: a broken answer was passed on")
        if status == 404:
            self.report(f"{request_id}: status 404 for a configured route")
        if status == 503 and kind == "once":
            # It must never run; check_executions() verifies that at the end.
            self.not_run_ids.append(request_id)
        if status == 503 and not headers.get("retry-after"):
            self.report(f"{request_id}: status 503 without Retry-After")
        if status == 200 and kind == "all":
            self.check_merged(request_id, headers, body)
        elif status == 200:
            stamp = headers.get("response-stamp", "")
            if not stamp.endswith("." + request_id):
                self.report(f"{request_id}: reply to another request: {stamp}")

    def check_merged(self, request_id, headers, body):
        stamps = [s.strip() for s in headers["part-stamps"].split(",")]
        target_ids = [s.rpartition(".")[0] for s in stamps]
        by_id = {target.id: target for target in self.targets}
        services = [by_id[target_id].service for target_id in target_ids]
        if any(not s.endswith("." + request_id) for s in stamps):
            self.report(f"{request_id}: part belongs to another request")
        if len(set(services)) != len(services):
            self.report(f"{request_id}: shard counted twice")
        if len({s[0] for s in services}) > 1:
            self.report(f"{request_id}: parts come from two configurations")
        shards = self.shape.shards
        if len(services) + int(headers.get("missing-parts", 0)) != shards:
            self.report(f"{request_id}: parts and missing parts do not add up")
        if len(services) < MIN_SHARE * shards:
            self.report(f"{request_id}: fewer parts than the minimum share")
        records = sorted((r for target_id in target_ids for r in
                          fakes.part_records(target_id, request_id)),
                         reverse=True)
        if body != b"".join(records[:TOP_K]):
            self.report(f"{request_id}: body is not the top records")

    def check_executions(self):
        for request_id in self.not_run_ids:
            if self.execution_log.runs.get(request_id):
                self.report(f"{request_id}: reported as not run, but it ran")
        self.timed_out = sum(reply == "timed out"
                             for _, _, reply in self.answers)
        for request_id, ran in self.execution_log.runs.items():
            request = self.requests.get(request_id)
            if request and request.kind == "once" and len(ran) > 1:
                self.report(f"{request_id}: ran twice")
        for target_id, request_id in (
                self.execution_log.repeated_on_connection):
            self.report(f"{request_id}: sent to {target_id} twice over one "
                        "connection")
        for target_id, request_id in self.execution_log.late_arrivals:
            self.report(f"{request_id}: sent to {target_id} after its drain")
        for target_id, request_id in self.execution_log.late_after_removal:
            request = self.requests.get(request_id)
            if request and request.in_touch:
                self.report(f"{request_id}: sent by node{request.node} to "
                            f"{target_id} after its removal")

    def check_budget(self):
        arrivals = self.execution_log.arrivals
        targets = {target.id: target for target in self.targets}
        for text in budget.violations(arrivals, self.requests, targets):
            self.report(text)

    def budget_summary(self):
        arrivals = self.execution_log.arrivals
        worst = budget.worst_window(arrivals, self.requests)
        targets = {target.id: target for target in self.targets}
        wide = budget.wide_requests(arrivals, self.requests, targets)
        too_long, _ = budget.long_deadlines(arrivals, self.requests, targets)
        return (f"{worst or 'no repeats'}; {len(wide)} at too many targets, "
                f"{too_long} given too much time")

    # Running.

    async def wait_ready(self):
        for _ in range(100):
            ready = 0
            for node in range(self.args.nodes):
                try:
                    reader, writer = await asyncio.open_connection(
                        self.ip(node), self.args.port + 12)
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    reply = await asyncio.wait_for(
                        fakes.read_head(reader), 1)
                    ready += bool(reply) and reply[0].split()[1] == "200"
                    writer.close()
                except (OSError, asyncio.TimeoutError):
                    pass
            if ready == self.args.nodes:
                return
            await asyncio.sleep(0.1)
        self.report("not all nodes were ready within 10 s")

    async def check_recovery(self):
        start = time.monotonic()
        await asyncio.sleep(2.0)
        late = [a for a in self.answers if a[0] > start + 0.5]
        served = [a for a in late if a[2] and a[2] != "timed out"
                  and a[2][0] == 200]
        if len(served) < MIN_RECOVERED_SHARE * len(late):
            self.report(f"after the faults {len(served)} of {len(late)} "
                        "requests were served")

    async def check_addresses_free(self):
        """Refuse addresses in use: parallel runs would mix their results."""
        for node in range(self.args.nodes):
            try:
                _, writer = await asyncio.open_connection(
                    self.ip(node), self.args.port + 11)
            except OSError:
                continue
            writer.close()
            raise RuntimeError(f"{self.ip(node)}:{self.args.port + 11} is "
                               "in use; choose another --net or --port")

    async def start_all(self):
        await self.check_addresses_free()
        store = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_proxy = fakes.Proxy(
            lambda: store.sockets[0].getsockname()[1])
        await self.store_proxy.start()
        await self.add_shards("s")
        for i in range(self.shape.single_targets):
            await self.add_target("single", self.zone(i))
        self.configure()
        for node in range(self.args.nodes):
            self.start_node(node)
        await self.wait_ready()

    async def run(self):
        await self.start_all()
        callers = [asyncio.create_task(self.run_caller(i))
                   for i in range(self.shape.callers)]
        if self.shape.rate:
            callers.append(asyncio.create_task(self.run_arrivals()))
        if self.args.poison_gap:
            callers.append(asyncio.create_task(self.run_poison_caller()))
        await self.inject_faults(time.monotonic() + self.args.seconds)
        await asyncio.sleep(3.0)
        await self.check_recovery()
        self.stopping = True
        await asyncio.gather(*callers)
        await asyncio.gather(*self.tasks)
        # Connections that are still open are cancelled with the loop; do not
        # log that.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        self.check_executions()
        self.check_poison()
        self.check_budget()

    def close(self):
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
            proc.wait()
        for node, proc in self.procs.items():
            if proc.returncode not in (0, -signal.SIGKILL, -signal.SIGTERM):
                self.report(f"node{node} ended with {proc.returncode}")
