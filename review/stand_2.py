"""Stand-ins for the cases of the second review, on loopback and the real clock.

A store, leafs and clients that follow the users' pages, and a deployment that
starts the nodes with the command of deploy/system.toml. Every address is a
loopback one. Nothing here decides what a node does.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPO = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
FRONT, READY, CONTROL, INTERNAL, METRICS = 8104, 8108, 8106, 7380, 9464
HOST = "pupu76.example"
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "stable_ms": 4000,
          "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
          "loss_slack_ms": 200, "config_apply_ms": 3000,
          "revert_slack_ms": 250, "max_skew_ms": 12000, "budget_ratio": 0.2,
          "budget_window_s": 10, "budget_extra": 58, "cold_multiplier": 1.5,
          "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12}


class CannotRun(Exception):
    """The case could not run; it says nothing of the rule."""


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text, shown=False):
        text = f"{self.now():8.3f} {text}"
        self.file.write(text + "\n")
        if shown:
            print(text, flush=True)

    def note(self, text):
        self.line(text, True)


async def read_head(reader):
    """First line and headers (names in lower case), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError,
            asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if value:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def message(first, headers, body=b""):
    head = first + "\r\n" + "".join(f"{k}: {v}\r\n"
                                    for k, v in headers.items())
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() \
        + body


class Store:
    """The platform's store: items, ranges in pages, and watches."""

    PAGE = 500

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}  # key -> (value bytes, revision)
        self.events = []  # (revision, key, value bytes or None)
        self.changed = asyncio.Event()
        self.waiting = set()  # (node, writer) of watches that wait
        self.served = {}  # node -> time of the last complete answer
        self.addrs = []  # an address for each node, to tell their calls apart
        self.servers = []

    async def start(self, ip, nodes):
        for node in range(nodes):
            server = await asyncio.start_server(
                lambda r, w, node=node: self.serve(node, r, w), ip, 0)
            self.servers.append(server)
            self.addrs.append("%s:%d" % server.sockets[0].getsockname()[:2])

    def put(self, key, value):
        """Write an item; the time of the return is the acknowledgement."""
        raw = json.dumps(value).encode() if value is not None else None
        self.revision += 1
        self.events.append((self.revision, key, raw))
        if raw is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (raw, self.revision)
        self.changed.set()
        self.changed = asyncio.Event()
        self.record.line(f"store: {key} {'removed' if raw is None else 'put'}"
                         f" at revision {self.revision}")

    @staticmethod
    def item(key, raw, revision):
        if raw is None:
            return {"key": key, "revision": revision, "tombstone": True}
        return {"key": key, "value": base64.b64encode(raw).decode(),
                "revision": revision, "created": revision, "lease": 0}

    def range(self, prefix, after):
        keys = sorted(k for k in self.items
                      if k.startswith(prefix) and k > after)
        page = keys[:self.PAGE]
        return {"items": [self.item(k, *self.items[k]) for k in page],
                "has_more": len(keys) > len(page), "as_of": self.revision}

    async def watch(self, prefix, after, wait_s, waiter):
        until = time.monotonic() + wait_s
        self.waiting.add(waiter)
        try:
            while not any(e[0] > after and e[1].startswith(prefix)
                          for e in self.events):
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        finally:
            self.waiting.discard(waiter)
        return {"events": [self.item(k, raw, r) for r, k, raw in self.events
                           if r > after and k.startswith(prefix)],
                "as_of": self.revision}

    def cut_watches(self):
        """Cut watches that wait, as the pages allow at any time."""
        cut = list(self.waiting)
        for node, writer in cut:
            writer.close()
            self.record.line(f"store: cut the watch of node {node + 1}")
        return len(cut)

    async def serve(self, node, reader, writer):
        try:
            while (head := await read_head(reader)):
                url = urllib.parse.urlsplit(head[0].split()[1])
                args = {k: v[0] for k, v in urllib.parse.parse_qs(
                    url.query, keep_blank_values=True).items()}
                if url.path == "/kv-range":
                    out = self.range(args.get("prefix", ""),
                                     args.get("after", ""))
                elif url.path == "/kv-watch":
                    out = await self.watch(args.get("prefix", ""),
                                           int(args["after"]),
                                           int(args["wait_ms"]) / 1000,
                                           (node, writer))
                else:
                    writer.write(message("HTTP/1.1 404 Not Found", {}))
                    continue
                await asyncio.sleep(0.004)
                writer.write(message(
                    "HTTP/1.1 200 OK", {"Content-Type": "application/json"},
                    json.dumps(out).encode()))
                await writer.drain()
                self.served[node] = time.monotonic()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Leaf:
    """A leaf: runs requests on its slots and reports itself in the store."""

    def __init__(self, store, record, ident, service, zone, slots=2,
                 work_s=0.02, queue=12):
        self.store, self.record = store, record
        self.id, self.service, self.zone = ident, service, zone
        self.slots, self.work_s, self.queue = slots, work_s, queue
        self.free = asyncio.Semaphore(slots)
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.cold_until = 0.0
        self.running = self.queued = 0
        self.arrivals = []  # (time, request id); not those with 421
        self.runs = []  # (time, request id)
        self.conns = set()
        self.server = None
        self.addr = None
        self.seq = 0

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def publish(self):
        self.seq += 1
        left = max(self.cold_until - time.monotonic(), 0)
        self.store.put(f"servers/{self.id}", {
            "service": self.service, "addr": self.addr, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "cold_left_ms": int(left * 1000), "seq": self.seq,
            "born": self.born})

    def unpublish(self):
        self.store.put(f"servers/{self.id}", None)

    def crash(self):
        """End at once; connections are reset, as when a process is killed."""
        self.server.close()
        for writer in list(self.conns):
            writer.transport.abort()

    async def answer(self, line, headers, _body):
        request_id = headers.get("request-id", "")
        if headers.get("target-instance") not in (None, self.id):
            return message("HTTP/1.1 421 Misdirected Request",
                           {"Instance-Id": self.id})
        self.arrivals.append((time.monotonic(), request_id))
        self.record.line(f"leaf {self.id}: {request_id} arrives")
        if self.running >= self.slots and self.queued >= self.queue:
            self.record.line(f"leaf {self.id}: {request_id} rejected, full")
            return message("HTTP/1.1 503 Service Unavailable",
                           {"Not-Executed": "1", "Request-Id": request_id})
        self.queued += 1
        async with self.free:
            self.queued -= 1
            self.running += 1
            self.runs.append((time.monotonic(), request_id))
            try:
                await asyncio.sleep(self.work_s * random.uniform(0.8, 1.2))
            finally:
                self.running -= 1
        return message("HTTP/1.1 200 OK", {
            "Request-Id": request_id,
            "Response-Stamp": f"{self.id}.{request_id}",
            "Server-Load": f"{self.running},{self.queued},{self.slots}"},
            self.body(line, request_id))

    def after(self, reply, writer):
        """Called when an answer was sent; faulty leafs do more."""

    def body(self, _line, request_id):
        return f"{self.id} {request_id}".encode()

    async def serve(self, reader, writer):
        self.conns.add(writer)
        try:
            while (head := await read_head(reader)):
                body = await reader.readexactly(
                    int(head[1].get("content-length", 0)))
                reply = await self.answer(head[0], head[1], body)
                if reply is None:
                    break
                writer.write(reply)
                self.after(reply, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.conns.discard(writer)
            writer.close()


class ColdLeaf(Leaf):
    """A leaf that crashes when it is cold and gets more than it can bear.

    Until then it counts its worst second, wherever that begins.
    """

    bound = 0.0
    worst = 0
    cut = 0  # requests under way at the crash
    crashed = False

    def worst_second(self):
        at = self.arrivals[-1][0]
        return sum(1 for a in self.arrivals[-1000:] if at - a[0] < 1.0)

    async def answer(self, line, headers, body):
        reply = super().answer(line, headers, body)
        task = asyncio.ensure_future(reply)
        await asyncio.sleep(0)
        if time.monotonic() < self.cold_until and not self.crashed:
            self.worst = max(self.worst, self.worst_second())
            if self.worst > self.bound:
                self.crashed = True
                self.cut = self.running
                self.record.note(f"leaf {self.id} is cold and crashes: "
                                 f"{self.worst} requests in a second, the "
                                 f"bound is {self.bound:g}")
                self.crash()
        return await task


class Deployment:
    """Nodes, started with the command of the deploy file, and the store."""

    def __init__(self, folder, zones):
        """@zones: the zone of each node, in order."""
        self.record = Record(folder)
        self.zones = zones
        self.dir = tempfile.mkdtemp(prefix="wasabimoor-review-")
        self.procs = {}
        self.started = []
        self.logs = []
        self.bounds = dict(BOUNDS)
        self.base = self.find_net()
        self.store = Store(self.record)
        self.leafs = {}
        self.bootstrap = True
        with open(os.path.join(REPO, "deploy/system.toml"), "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        self.command = role["run"].split()
        if not os.access(os.path.join(REPO, self.command[0]), os.X_OK):
            raise CannotRun(f"{self.command[0]} is not built")

    def find_net(self):
        """A loopback network on which all ports of all nodes are free."""
        for _ in range(50):
            base = f"127.{random.randrange(20, 250)}." \
                   f"{random.randrange(1, 250)}"
            try:
                for i in range(len(self.zones)):
                    for port in (FRONT, READY, INTERNAL, METRICS):
                        with socket.socket() as probe:
                            probe.bind((f"{base}.{i + 1}", port))
                return base
            except OSError:
                continue
        raise CannotRun("no free addresses")

    def ip(self, node):
        return f"{self.base}.{node + 1}"

    def settings(self, node):
        ip = self.ip(node)
        region = {zone: "boeotia" for zone in self.zones}
        seeds = [f"{self.ip(i)}:{CONTROL}"
                 for i in range(min(3, len(self.zones)))]
        return {
            "node_name": f"front-{node + 1}", "role": "node",
            "machine_class": "front", "serves": ["front", "control"],
            "ip": ip, "zone": self.zones[node], "region": "boeotia",
            "zones": region,
            "listen": {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}",
                       "control": f"{ip}:{CONTROL}"},
            "internal_ports": [INTERNAL, INTERNAL + 15], "seeds": seeds,
            "bootstrap": self.bootstrap, "fault_counted": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform",
            "entry": "virtual_ip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry",
                          "recover", "scatter", "places", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": self.bounds,
            "platform": {"addr": self.store.addrs[node], "form": "read",
                         "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "max_value_bytes": 1048576,
                         "min_ttl_ms": 1000}}

    def start_node(self, node):
        path = os.path.join(self.dir, f"node{node}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(node), file)
        log = open(os.path.join(self.dir, f"node{node}.log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["WASABIMOOR_CONFIG"] = path
        proc = subprocess.Popen(self.command, cwd=REPO, env=env, stdout=log,
                                stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.procs[node] = proc
        self.started.append(proc)
        self.record.line(f"node {node + 1} started, process {proc.pid}")

    def signal_node(self, node, number):
        self.record.note(f"{signal.Signals(number).name} to node {node + 1} "
                         f"({self.zones[node]})")
        self.procs[node].send_signal(number)

    async def add_leaf(self, ident, service, zone, cold_s=0.0, publish=True,
                       kind=Leaf, **options):
        leaf = kind(self.store, self.record, ident, service, zone, **options)
        await leaf.start(self.ip(len(self.zones) + len(self.leafs) % 100))
        leaf.cold_until = time.monotonic() + cold_s if cold_s else 0.0
        self.leafs[ident] = leaf
        if publish:
            leaf.publish()
        return leaf

    def configure(self, version, routes, services):
        self.store.put("op/config", {"version": version, "routes": routes,
                                     "services": services, "limits": LIMITS})

    async def ready(self, node):
        try:
            reader, writer = await asyncio.open_connection(self.ip(node),
                                                           READY)
        except OSError:
            return False
        try:
            writer.write(message("GET /ready HTTP/1.1", {"Host": "x"}))
            head = await asyncio.wait_for(read_head(reader), 1)
            return bool(head) and head[0].split()[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def start(self):
        """Start all nodes and wait until they count as ready."""
        for node in range(len(self.zones)):
            self.start_node(node)
        self.bootstrap = False
        for _ in range(100):
            ready = [await self.ready(n) for n in range(len(self.zones))]
            if all(ready):
                self.record.note("all nodes are ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("not all nodes were ready within 10 s")

    def close(self):
        for proc in self.started:
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
            proc.wait()
        self.record.note(f"ended; logs of the nodes are in {self.dir}"
                         if os.environ.get("KEEP") else "ended")
        if not os.environ.get("KEEP"):
            for name in os.listdir(self.dir):
                os.unlink(os.path.join(self.dir, name))
            os.rmdir(self.dir)
        self.record.file.close()


class Client:
    """Clients' requests to the nodes, on connections that are kept."""

    def __init__(self, deployment, name="q"):
        self.deployment, self.name = deployment, name
        self.count = 0
        self.answers = []  # (sent at, node, request id, status or None)
        self.node_of = {}  # request id -> the node it was sent to
        self.tasks = set()
        self.kept = {}  # node -> connections without a request

    async def ask(self, node, path, deadline_ms, method="GET", body=b"",
                  request_id=None):
        """Send one request; (status, headers, body), None if it failed."""
        if request_id is None:
            self.count += 1
            request_id = f"{self.name}{self.count:06x}"
        deployment = self.deployment
        sent = time.monotonic()
        self.node_of[request_id] = node
        deployment.record.line(f"client: {request_id} to node {node + 1}")
        try:
            reply = await asyncio.wait_for(
                self.exchange(node, path, deadline_ms, method, body,
                              request_id), deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError):
            reply = None
        status = reply[0] if reply else None
        self.answers.append((sent, node, request_id, status))
        deployment.record.line(f"client: {request_id} answered "
                               f"{status or 'nothing'}")
        return reply

    async def exchange(self, node, path, deadline_ms, method, body,
                       request_id):
        reader, writer = await self.connect(node)
        keep = False
        try:
            writer.write(message(
                f"{method} {path} HTTP/1.1",
                {"Host": HOST, "Request-Id": request_id,
                 "Request-Deadline": deadline_ms}, body))
            head = await read_head(reader)
            if not head:
                return None
            body = await reader.readexactly(
                int(head[1].get("content-length", 0)))
            keep = head[1].get("connection", "").lower() != "close"
            return int(head[0].split()[1]), head[1], body
        finally:
            if keep:
                self.kept.setdefault(node, []).append((reader, writer))
            else:
                writer.close()

    async def connect(self, node):
        kept = self.kept.setdefault(node, [])
        while kept:
            reader, writer = kept.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(self.deployment.ip(node), FRONT)

    def spawn(self, *args, **options):
        task = asyncio.create_task(self.ask(*args, **options))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def steady(self, node, per_s, seconds, path, deadline_ms,
                     method="GET", body=b""):
        """Requests at a mean rate, however long they take."""
        until = time.monotonic() + seconds
        await asyncio.sleep(random.uniform(0, 1 / per_s))
        while time.monotonic() < until:
            self.spawn(node, path, deadline_ms, method, body)
            await asyncio.sleep(random.expovariate(per_s))

    async def finish(self):
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=10)

    def served(self):
        return sum(1 for a in self.answers if a[3] == 200)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run(case, folder, zones):
    """Run @case, a coroutine of a Deployment that returns whether the rule
    held, and exit: 1 if it was broken, 0 if it held, 2 if it could not run."""
    deployment = None
    code = 2
    try:
        deployment = Deployment(folder, zones)

        async def whole():
            await deployment.store.start(deployment.ip(len(zones) + 101),
                                         len(zones))
            # Connections that are open at the end are cancelled with the loop.
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            return await asyncio.wait_for(case(deployment), 110)

        code = 0 if asyncio.run(whole()) else 1
    except (CannotRun, asyncio.TimeoutError) as error:
        print(f"could not run: {error!r}")
    finally:
        if deployment:
            deployment.close()
    sys.exit(code)
