"""One run of real nodes as processes, with stand-ins, callers and faults."""

import asyncio
import json
import os
import random
import signal
import subprocess
import tempfile
import time

import standins

SHARDS, ZONES, SINGLES = 8, ("za", "zb", "zc"), 6
TOP, LEAST, GOAL_MS, TIMEOUT_MS = 5, 0.75, 150, 1500
WORK_S = 0.004
CLIENTS = 12
# A caller gives up after this; nothing may be held longer.
PATIENCE_S = 4.0
ROUTES = {"all": "/all/", "one": "/one/", "once": "/once/"}
SERVED_AT_LAST = 0.9
# Tries of a deadly request that may run once this long after its third crash.
LATE_MOST, STABLE_S = 3, 4.0


class Fleet:
    """One seed's nodes, stand-ins, callers and books."""

    def __init__(self, program, seed, args):
        self.program, self.args = program, args
        self.rng = random.Random(seed)
        self.dir = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        self.store, self.books = standins.Store(), standins.Books()
        self.leafs, self.proxies, self.procs = [], {}, {}
        self.answers, self.faults, self.said = [], [], []
        self.version, self.set_name = 1, "s"
        self.stopping = False
        self.held, self.kinds, self.stdout = 0, {}, None

    # Stand-ins.

    async def add_leaf(self, service, zone):
        leaf = standins.Leaf(f"i{len(self.leafs)}", service, zone, self.books,
                             WORK_S)
        leaf.crash = self.crash_leaf
        await leaf.start()
        proxy = standins.Proxy(lambda: leaf.port)
        await proxy.start()
        self.leafs.append(leaf)
        self.proxies[leaf.id] = proxy
        self.publish(leaf)
        return leaf

    def publish(self, leaf):
        addr = f"127.0.0.1:{self.proxies[leaf.id].port}"
        self.store.put(f"servers/{leaf.id}", leaf.entry(addr))

    async def add_shards(self, name):
        for i in range(SHARDS):
            for j in range(2):
                await self.add_leaf(f"{name}{i}", ZONES[(i + j) % 3])

    def configure(self):
        common = {"host": "h.example", "timeout_ms": TIMEOUT_MS,
                  "goal_ms": GOAL_MS, "priority": 1, "max_attempts": 2}
        shards = [f"{self.set_name}{i}" for i in range(SHARDS)]
        routes = [
            dict(common, name="all", prefix=ROUTES["all"], kind="idempotent",
                 gather=shards, top_k=TOP, min_share=LEAST),
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

    # Faults: each waits, heals by itself, and may overlap with others.

    def some_leaf(self):
        return self.rng.choice(self.leafs)

    async def pause_leaf(self):
        self.some_leaf().paused_until = time.monotonic() + 0.3

    async def shed(self):
        leaf = self.some_leaf()
        leaf.shed = 0.7
        await asyncio.sleep(1)
        leaf.shed = 0

    async def lose(self):
        leaf = self.some_leaf()
        leaf.lose = 0.5
        await asyncio.sleep(1)
        leaf.lose = 0

    async def extra(self):
        leaf = self.some_leaf()
        leaf.late_extra = 0.5
        await asyncio.sleep(1)
        leaf.late_extra = 0

    async def link(self, field, value):
        proxy = self.proxies[self.some_leaf().id]
        setattr(proxy, field, value)
        await asyncio.sleep(0.8)
        setattr(proxy, field, type(value)())

    async def delay_link(self):
        await self.link("delay", 0.05)

    async def silence_link(self):
        await self.link("silent", True)

    async def cut_one_way(self):
        await self.link("one_way", True)

    async def reset_links(self):
        for proxy in self.rng.sample(list(self.proxies.values()), 5):
            proxy.reset()

    async def drain_leaf(self):
        leaf = self.some_leaf()
        if leaf.drained_at or self.store.down or self.store_proxy.silent:
            return
        await self.add_leaf(leaf.service, leaf.zone)
        leaf.drained_at = time.monotonic()
        self.publish(leaf)

    def crash_leaf(self, leaf):
        """It ends with all its connections, and comes back."""
        proxy = self.proxies[leaf.id]
        proxy.refuses = True
        proxy.reset()
        asyncio.create_task(self.return_leaf(leaf, proxy))

    async def return_leaf(self, leaf, proxy):
        await asyncio.sleep(self.rng.uniform(0.6, 1.2))
        proxy.refuses = False
        leaf.born += 1
        self.publish(leaf)

    async def store_down(self):
        self.store.down = self.rng.choice((True, "silent"))
        await asyncio.sleep(1.5)
        self.store.down = False

    async def store_silent(self):
        self.store_proxy.silent = True
        await asyncio.sleep(1.0)
        self.store_proxy.silent = False
        self.store_proxy.reset()

    async def reconfigure(self):
        if self.set_name == "s" and self.rng.random() < 0.4:
            await self.add_shards("r")
            await asyncio.sleep(0.5)
            self.set_name = "r"
        self.version += 1
        self.configure()

    async def kill_node(self):
        node = self.rng.randrange(self.args.nodes)
        self.signal_node(node, signal.SIGKILL)
        await asyncio.sleep(0.5)
        self.restart(node)

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
            self.fault(f"node{node} has not ended 5 s after SIGTERM")
            proc.kill()
            await asyncio.sleep(0.2)
        self.restart(node)

    async def freeze_node(self):
        node = self.rng.randrange(self.args.nodes)
        self.signal_node(node, signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        self.signal_node(node, signal.SIGCONT)

    async def hup_node(self):
        self.signal_node(self.rng.randrange(self.args.nodes), signal.SIGHUP)

    def restart(self, node):
        proc = self.procs[node]
        if not self.stopping and proc.poll() is not None:
            self.start_node(node)

    # Callers.

    def fault(self, text):
        self.faults.append(text)

    async def ask(self, node, kind, request_id, path=None):
        """One request on a connection of its own; status, headers, body."""
        self.kinds[request_id] = kind
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
            got = await standins.read_head(reader)
            if not got:
                return None
            return (int(got[0].split()[1]), got[1],
                    await standins.read_body(reader, got[1]))
        finally:
            writer.close()

    async def caller(self, number):
        count = 0
        while not self.stopping:
            kind = self.rng.choice(("all", "all", "one", "once"))
            node = self.rng.randrange(self.args.nodes)
            request_id = f"{os.getpid()}-c{number}-{count}"
            count += 1
            start = time.monotonic()
            try:
                got = await asyncio.wait_for(
                    self.ask(node, kind, request_id), PATIENCE_S)
            except asyncio.TimeoutError:
                got = "held"
            except (OSError, asyncio.IncompleteReadError, ValueError):
                got = None
            self.judge(kind, request_id, got)
            self.answers.append((start, kind, got))
            await asyncio.sleep(self.rng.uniform(0.005, 0.05))

    async def deadly_caller(self):
        """A request that ends each target that runs it, again and again."""
        count = 0
        while not self.stopping:
            node = self.rng.randrange(self.args.nodes)
            request_id = f"{os.getpid()}-{standins.DEADLY}-{count}"
            count += 1
            try:
                await asyncio.wait_for(
                    self.ask(node, "all", request_id, standins.DEADLY),
                    PATIENCE_S)
            except (OSError, asyncio.IncompleteReadError, ValueError,
                    asyncio.TimeoutError):
                pass
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))

    def judge_deadly(self):
        crashes = sorted(self.books.crashes)
        if len(crashes) < 3:
            return
        late = {r for t, r in crashes if t > crashes[2][0] + STABLE_S}
        if len(late) > LATE_MOST:
            self.fault(f"{len(late)} late tries of a deadly request ran, "
                       f"{len(crashes)} targets ended")

    def judge(self, kind, request_id, got):
        if got in (None, "held"):
            return
        status, headers, body = got
        if status == 404:
            self.fault(f"{request_id}: 404 for a route that exists")
        if status == 503 and kind == "once":
            # The books are asked once more at the end: it must never run.
            self.said.append(request_id)
        if status == 503 and not headers.get("retry-after"):
            self.fault(f"{request_id}: 503 without a time to come back")
        if status == 200 and kind == "all":
            self.judge_merged(request_id, headers, body)
        elif status == 200:
            stamp = headers.get("response-stamp", "")
            if not stamp.endswith("." + request_id):
                self.fault(f"{request_id}: answer of another: {stamp}")

    def judge_merged(self, request_id, headers, body):
        stamps = [s.strip() for s in headers["part-stamps"].split(",")]
        leafs = [s.rpartition(".")[0] for s in stamps]
        by_id = {leaf.id: leaf for leaf in self.leafs}
        services = [by_id[leaf].service for leaf in leafs]
        if any(not s.endswith("." + request_id) for s in stamps):
            self.fault(f"{request_id}: part of another request")
        if len(set(services)) != len(services):
            self.fault(f"{request_id}: a shard counted twice")
        if len({s[0] for s in services}) > 1:
            self.fault(f"{request_id}: parts of two configurations")
        if len(services) + int(headers.get("missing-parts", 0)) != SHARDS:
            self.fault(f"{request_id}: parts and missing are not the whole")
        if len(services) < LEAST * SHARDS:
            self.fault(f"{request_id}: too few parts for an answer")
        records = sorted((r for leaf in leafs for r in
                          standins.part_records(leaf, request_id)),
                         reverse=True)
        if body != b"".join(records[:TOP]):
            self.fault(f"{request_id}: not the greatest records")

    def judge_books(self):
        for request_id in self.said:
            if self.books.runs.get(request_id):
                self.fault(f"{request_id}: told not run, and it ran")
        self.held = sum(got == "held" for _, _, got in self.answers)
        for request_id, ran in self.books.runs.items():
            if self.kinds.get(request_id) == "once" and len(ran) > 1:
                self.fault(f"{request_id}: ran twice")
        for leaf, request_id in self.books.late_arrivals:
            self.fault(f"{request_id}: at {leaf} after it had left")

    # A run.

    async def settle(self):
        for _ in range(100):
            ready = 0
            for node in range(self.args.nodes):
                try:
                    reader, writer = await asyncio.open_connection(
                        self.ip(node), self.args.port + 12)
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    got = await asyncio.wait_for(
                        standins.read_head(reader), 1)
                    ready += bool(got) and got[0].split()[1] == "200"
                    writer.close()
                except (OSError, asyncio.TimeoutError):
                    pass
            if ready == self.args.nodes:
                return
            await asyncio.sleep(0.1)
        self.fault("not all nodes were ready after 10 s")

    async def trouble(self, until):
        kinds = [self.pause_leaf, self.pause_leaf, self.shed, self.lose,
                 self.extra, self.delay_link, self.silence_link,
                 self.cut_one_way, self.reset_links, self.drain_leaf,
                 self.store_down, self.store_silent, self.reconfigure,
                 self.kill_node, self.stop_node, self.freeze_node,
                 self.hup_node]
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self.rng.choice(kinds)()))
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
        await asyncio.gather(*tasks)

    async def served_at_last(self):
        start = time.monotonic()
        await asyncio.sleep(2.0)
        late = [a for a in self.answers if a[0] > start + 0.5]
        good = [a for a in late if a[2] and a[2] != "held"
                and a[2][0] == 200]
        if len(good) < SERVED_AT_LAST * len(late):
            self.fault(f"after all was healed {len(good)} of {len(late)} "
                       "were served")

    async def check_free(self):
        """Two runs on the same addresses would judge each other's books."""
        for node in range(self.args.nodes):
            try:
                _, writer = await asyncio.open_connection(
                    self.ip(node), self.args.port + 11)
            except OSError:
                continue
            writer.close()
            raise RuntimeError(f"{self.ip(node)}:{self.args.port + 11} is "
                               "taken; choose another --net or --port")

    async def begin(self):
        await self.check_free()
        store = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_proxy = standins.Proxy(
            lambda: store.sockets[0].getsockname()[1])
        await self.store_proxy.start()
        await self.add_shards("s")
        for i in range(SINGLES):
            await self.add_leaf("single", ZONES[i % 3])
        self.configure()
        for node in range(self.args.nodes):
            self.start_node(node)
        await self.settle()

    async def run(self):
        await self.begin()
        callers = [asyncio.create_task(self.caller(i)) for i in range(CLIENTS)]
        callers.append(asyncio.create_task(self.deadly_caller()))
        await self.trouble(time.monotonic() + self.args.seconds)
        await asyncio.sleep(3.0)
        await self.served_at_last()
        self.stopping = True
        await asyncio.gather(*callers)
        # What still stands open is cancelled with the loop, without a word.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        self.judge_books()
        self.judge_deadly()

    def close(self):
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
            proc.wait()
        for node, proc in self.procs.items():
            if proc.returncode not in (0, -signal.SIGKILL, -signal.SIGTERM):
                self.fault(f"node{node} ended with {proc.returncode}")
