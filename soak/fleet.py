"""One soak run: node processes, a fake store and targets, callers, faults."""

import asyncio
import json
import os
import random
import signal
import subprocess
import tempfile
import time

import fakes

SHARDS, ZONES, SINGLE_TARGETS = 8, ("za", "zb", "zc"), 6
TOP_K, MIN_SHARE, GOAL_MS, TIMEOUT_MS = 5, 0.75, 150, 1500
SERVICE_TIME_S = 0.004
CALLERS = 12
# A caller gives up after this time; no request may be held longer.
CALLER_TIMEOUT_S = 4.0
ROUTES = {"all": "/all/", "one": "/one/", "once": "/once/"}
MIN_RECOVERED_SHARE = 0.9
# How many poison requests may still crash a target later than LATE_AFTER_S
# after the third crash.
MAX_LATE_POISON_REQUESTS, LATE_AFTER_S = 3, 4.0


class Fleet:
    """Nodes, fakes, callers and recorded results of one seed."""

    def __init__(self, program, seed, args):
        self.program, self.args = program, args
        self.rng = random.Random(seed)
        self.dir = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        self.store, self.execution_log = (fakes.Store(),
                                          fakes.ExecutionLog())
        self.targets, self.proxies, self.procs = [], {}, {}
        self.answers, self.violations, self.not_run_ids = [], [], []
        self.version, self.shard_prefix = 1, "s"
        self.stopping = False
        self.timed_out, self.route_kinds, self.stdout = 0, {}, None

    # Fake targets and store.

    async def add_target(self, service, zone):
        target = fakes.Target(f"i{len(self.targets)}", service, zone,
                              self.execution_log, SERVICE_TIME_S)
        target.on_crash = self.crash_target
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
        for i in range(SHARDS):
            for j in range(2):
                await self.add_target(f"{name}{i}", ZONES[(i + j) % 3])

    def configure(self):
        common = {"host": "h.example", "timeout_ms": TIMEOUT_MS,
                  "goal_ms": GOAL_MS, "priority": 1, "max_attempts": 2}
        shards = [f"{self.shard_prefix}{i}" for i in range(SHARDS)]
        routes = [
            dict(common, name="all", prefix=ROUTES["all"], kind="idempotent",
                 gather=shards, top_k=TOP_K, min_share=MIN_SHARE),
            dict(common, name="one", prefix=ROUTES["one"], kind="idempotent",
                 service="single"),
            dict(common, name="once", prefix=ROUTES["once"],
                 kind="non_idempotent", service="single")]
        services = [{"name": n, "health_path": "/health", "max_conns": 60,
                     "protocol": "h1", "tls": False, "warmup_s": 0.0,
                     "cold_per_s": 0.0} for n in shards + ["single"]]
        self.store.put("op/config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    # Nodes.

    def ip(self, node):
        return f"127.0.{self.args.net}.{node + 1}"

    def start_node(self, node):
        ip, port = self.ip(node), self.args.port
        path = os.path.join(self.dir, f"node{node}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({
                "node_name": f"node{node}", "ip": ip,
                "zone": ZONES[node % 3], "internal_ports": [port, port + 9],
                "listen": {"front": f"{ip}:{port + 11}",
                           "ready": f"{ip}:{port + 12}"},
                "seeds": [f"{self.ip(0)}:1", f"{self.ip(1)}:1"],
                "limits": {"cpu_share": 1, "cores": 1, "memory_mb": 260},
                "bounds": {"drain_ms": 3000, "grace_s": 3,
                           "budget_ratio": 0.2, "budget_window_s": 10,
                           "budget_extra": 60},
                "platform": {"addr": f"127.0.0.1:{self.store_proxy.port}"},
            }, file)
        log = open(os.path.join(self.dir, f"node{node}.log"), "ab")
        self.procs[node] = subprocess.Popen(
            [self.program, "tier"], stdout=self.stdout or log, stderr=log,
            env=dict(os.environ, WASABIMOOR_CONFIG=path))
        log.close()

    def signal_node(self, node, number):
        proc = self.procs.get(node)
        if proc and proc.poll() is None:
            proc.send_signal(number)

    # Faults. Each one ends by itself after a while; several may overlap.

    def random_target(self):
        return self.rng.choice(self.targets)

    async def pause_target(self):
        self.random_target().paused_until = time.monotonic() + 0.3

    async def shed_requests(self):
        target = self.random_target()
        target.shed_share = 0.7
        await asyncio.sleep(1)
        target.shed_share = 0

    async def drop_replies(self):
        target = self.random_target()
        target.drop_share = 0.5
        await asyncio.sleep(1)
        target.drop_share = 0

    async def duplicate_replies(self):
        target = self.random_target()
        target.duplicate_share = 0.5
        await asyncio.sleep(1)
        target.duplicate_share = 0

    async def degrade_link(self, field, value):
        proxy = self.proxies[self.random_target().id]
        setattr(proxy, field, value)
        await asyncio.sleep(0.8)
        setattr(proxy, field, type(value)())

    async def delay_link(self):
        await self.degrade_link("delay", 0.05)

    async def stall_link(self):
        await self.degrade_link("stalled", True)

    async def stall_replies(self):
        await self.degrade_link("replies_stalled", True)

    async def reset_links(self):
        for proxy in self.rng.sample(list(self.proxies.values()), 5):
            proxy.reset()

    async def drain_target(self):
        target = self.random_target()
        if (target.draining_since or self.store.down
                or self.store_proxy.stalled):
            return
        await self.add_target(target.service, target.zone)
        target.draining_since = time.monotonic()
        self.publish(target)

    def crash_target(self, target):
        """Abort all connections of the target and restart it later."""
        proxy = self.proxies[target.id]
        proxy.refuses = True
        proxy.reset()
        asyncio.create_task(self.restart_target(target, proxy))

    async def restart_target(self, target, proxy):
        await asyncio.sleep(self.rng.uniform(0.6, 1.2))
        proxy.refuses = False
        target.born += 1
        self.publish(target)

    async def fail_store(self):
        self.store.down = self.rng.choice((True, "stalled"))
        await asyncio.sleep(1.5)
        self.store.down = False

    async def stall_store(self):
        self.store_proxy.stalled = True
        await asyncio.sleep(1.0)
        self.store_proxy.stalled = False
        self.store_proxy.reset()

    async def reconfigure(self):
        if self.shard_prefix == "s" and self.rng.random() < 0.4:
            await self.add_shards("r")
            await asyncio.sleep(0.5)
            self.shard_prefix = "r"
        self.version += 1
        self.configure()

    async def kill_node(self):
        node = self.rng.randrange(self.args.nodes)
        self.signal_node(node, signal.SIGKILL)
        await asyncio.sleep(0.5)
        self.restart_node(node)

    async def stop_node(self):
        node = self.rng.randrange(self.args.nodes)
        proc = self.procs[node]
        self.signal_node(node, signal.SIGTERM)
        if self.rng.random() < 0.3:
            self.signal_node(node, signal.SIGTERM)
        for _ in range(50):
            await asyncio.sleep(0.1)
            if proc.poll() is not None:
                break
        else:
            self.report(f"node{node} has not ended 5 s after SIGTERM")
            proc.kill()
            await asyncio.sleep(0.2)
        self.restart_node(node)

    async def pause_node(self):
        node = self.rng.randrange(self.args.nodes)
        self.signal_node(node, signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        self.signal_node(node, signal.SIGCONT)

    async def reload_node(self):
        self.signal_node(self.rng.randrange(self.args.nodes), signal.SIGHUP)

    def restart_node(self, node):
        proc = self.procs[node]
        if not self.stopping and proc.poll() is not None:
            self.start_node(node)

    # Callers.

    def report(self, text):
        self.violations.append(text)

    async def send_request(self, node, kind, request_id, path=None):
        """Send one request on a new connection; (status, headers, body)."""
        self.route_kinds[request_id] = kind
        reader, writer = await asyncio.wait_for(asyncio.open_connection(
            self.ip(node), self.args.port + 11), 1.0)
        body = b"x" * 40 if kind == "once" else b""
        method = "POST" if kind == "once" else "GET"
        head = (f"{method} {ROUTES[kind]}{path or request_id} HTTP/1.1\r\n"
                f"Host: h.example\r\nRequest-Id: {request_id}\r\n"
                f"Request-Deadline: {TIMEOUT_MS}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n")
        try:
            writer.write(head.encode() + body)
            reply = await fakes.read_head(reader)
            if not reply:
                return None
            return (int(reply[0].split()[1]), reply[1],
                    await fakes.read_body(reader, reply[1]))
        finally:
            writer.close()

    async def run_caller(self, number):
        count = 0
        while not self.stopping:
            kind = self.rng.choice(("all", "all", "one", "once"))
            node = self.rng.randrange(self.args.nodes)
            request_id = f"{os.getpid()}-c{number}-{count}"
            count += 1
            start = time.monotonic()
            try:
                reply = await asyncio.wait_for(
                    self.send_request(node, kind, request_id),
                    CALLER_TIMEOUT_S)
            except asyncio.TimeoutError:
                reply = "timed out"
            except (OSError, asyncio.IncompleteReadError, ValueError):
                reply = None
            self.check_reply(kind, request_id, reply)
            self.answers.append((start, kind, reply))
            await asyncio.sleep(self.rng.uniform(0.005, 0.05))

    async def run_poison_caller(self):
        """Send poison requests, which crash each target that runs them."""
        count = 0
        while not self.stopping:
            node = self.rng.randrange(self.args.nodes)
            request_id = f"{os.getpid()}-{fakes.POISON_PATH}-{count}"
            count += 1
            try:
                await asyncio.wait_for(
                    self.send_request(node, "all", request_id,
                                      fakes.POISON_PATH),
                    CALLER_TIMEOUT_S)
            except (OSError, asyncio.IncompleteReadError, ValueError,
                    asyncio.TimeoutError):
                pass
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))

    def check_poison(self):
        crashes = sorted(self.execution_log.crashes)
        if len(crashes) < 3:
            return
        late = {r for t, r in crashes if t > crashes[2][0] + LATE_AFTER_S}
        if len(late) > MAX_LATE_POISON_REQUESTS:
            self.report(f"{len(late)} poison requests ran too late, "
                        f"{len(crashes)} target crashes")

    def check_reply(self, kind, request_id, reply):
        if reply in (None, "timed out"):
            return
        status, headers, body = reply
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
        if len(services) + int(headers.get("missing-parts", 0)) != SHARDS:
            self.report(f"{request_id}: parts and missing parts do not add up")
        if len(services) < MIN_SHARE * SHARDS:
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
            if self.route_kinds.get(request_id) == "once" and len(ran) > 1:
                self.report(f"{request_id}: ran twice")
        for target_id, request_id in self.execution_log.late_arrivals:
            self.report(f"{request_id}: sent to {target_id} after its drain")

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

    async def inject_faults(self, until):
        faults = [self.pause_target, self.pause_target, self.shed_requests,
                  self.drop_replies, self.duplicate_replies, self.delay_link,
                  self.stall_link, self.stall_replies, self.reset_links,
                  self.drain_target, self.fail_store, self.stall_store,
                  self.reconfigure, self.kill_node, self.stop_node,
                  self.pause_node, self.reload_node]
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self.rng.choice(faults)()))
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
        await asyncio.gather(*tasks)

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
        for i in range(SINGLE_TARGETS):
            await self.add_target("single", ZONES[i % 3])
        self.configure()
        for node in range(self.args.nodes):
            self.start_node(node)
        await self.wait_ready()

    async def run(self):
        await self.start_all()
        callers = [asyncio.create_task(self.run_caller(i))
                   for i in range(CALLERS)]
        callers.append(asyncio.create_task(self.run_poison_caller()))
        await self.inject_faults(time.monotonic() + self.args.seconds)
        await asyncio.sleep(3.0)
        await self.check_recovery()
        self.stopping = True
        await asyncio.gather(*callers)
        # Connections that are still open are cancelled with the loop; do not
        # log that.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        self.check_executions()
        self.check_poison()

    def close(self):
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
            proc.wait()
        for node, proc in self.procs.items():
            if proc.returncode not in (0, -signal.SIGKILL, -signal.SIGTERM):
                self.report(f"node{node} ended with {proc.returncode}")
