"""Stand-ins for the cases of this review: store, leafs, clients, node processes.

They speak what the users' protocol page says and nothing else. A case is a
program that imports this module, makes one Case and ends with Case.finish().
All addresses are loopback ones, all ports are free ones.
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

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
HOST = "pupu76.example"
# Bounds of a small deployment, from the users' settings example.
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "stable_ms": 4000,
          "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
          "loss_slack_ms": 200, "config_apply_ms": 3000,
          "revert_slack_ms": 250, "max_skew_ms": 12000, "budget_ratio": 0.2,
          "budget_window_s": 10, "budget_extra": 58, "cold_multiplier": 1.5,
          "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12}
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def free_port(ip):
    """A port that is free there, and the 30 after it, below the short-lived
    ones."""
    while True:
        port = random.randrange(10000, 30000, 40)
        try:
            for offset in range(31):
                with socket.socket() as sock:
                    sock.bind((ip, port + offset))
            return port
        except OSError:
            continue


def deploy_command():
    """The words of the deploy file's line 'run'."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)["roles"]["node"]["run"].split()


async def read_head(reader):
    """First line and (name, value) pairs, names in lower case; None at EOF."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError,
            asyncio.LimitOverrunError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def answer(status, headers, body):
    head = f"HTTP/1.1 {status} X\r\n"
    head += "".join(f"{k}: {v}\r\n" for k, v in headers.items())
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Store:
    """The platform's store: revisions, range reads, long-poll watches."""

    def __init__(self):
        self.log = []  # (revision, key, bytes or None)
        self.revision = 1
        self.changed = asyncio.Event()
        self.server = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def write(self, key, value):
        """Write bytes, or delete the key if there are none."""
        self.revision += 1
        self.log.append((self.revision, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, revision, key, value):
        if value is None:
            return {"key": key, "revision": revision, "tombstone": True}
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": revision, "lease": 0}

    def range(self, prefix):
        last = {key: (revision, key, value)
                for revision, key, value in self.log}
        items = [self.item(*last[key]) for key in sorted(last)
                 if key.startswith(prefix) and last[key][2] is not None]
        return {"items": items, "has_more": False, "as_of": self.revision}

    async def watch(self, prefix, after, wait_s):
        until = time.monotonic() + wait_s
        while True:
            events = [self.item(*entry) for entry in self.log
                      if entry[0] > after and entry[1].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)):
                path, _, query = head[0].split()[1].partition("?")
                args = dict(p.partition("=")[::2] for p in query.split("&"))
                if path == "/kv-range":
                    body = self.range(args.get("prefix", ""))
                else:
                    body = await self.watch(args.get("prefix", ""),
                                            int(args["after"]),
                                            int(args["wait_ms"]) / 1000)
                writer.write(answer(200, {"Content-Type": "application/json"},
                                    json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Link:
    """A path to the store that can be cut silently."""

    def __init__(self, to_addr):
        self.to_addr, self.cut = to_addr, False

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def pump(self, reader, writer):
        try:
            while (data := await reader.read(65536)):
                while self.cut:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        while self.cut:
            await asyncio.sleep(0.02)
        ip, port = self.to_addr.split(":")
        try:
            to_reader, to_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pump(reader, to_writer),
                             self.pump(to_reader, writer))


class Leaf:
    """A sound leaf: answers each request with its stamp and its body."""

    def __init__(self, case, ident, service, zone, work_s=0.01):
        self.case, self.id, self.service = case, ident, service
        self.zone, self.work_s = zone, work_s
        self.state, self.seq = "ready", 0
        self.born = int(time.time() * 1000)
        self.beating = False
        self.arrivals = []  # (time, request id)
        self.writers = set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beating = True
        self.beat()
        asyncio.create_task(self.beat_on())

    def entry(self):
        self.seq += 1
        return {"service": self.service, "addr": self.addr, "zone": self.zone,
                "version": "v1", "slots": 4, "state": self.state,
                "cold_left_ms": 0, "seq": self.seq, "born": self.born}

    def beat(self):
        self.case.store.write("servers/" + self.id,
                              json.dumps(self.entry()).encode())

    async def beat_on(self):
        while True:
            await asyncio.sleep(1.2)
            if not self.beating:
                return
            self.beat()

    def end(self):
        """The process exits: its connections break off."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def stamp(self, request_id):
        return f"{self.id}.{request_id}"

    def body(self, request_id):
        seed = random.Random(f"{self.id}/{request_id}")
        return b"".join(seed.randbytes(16) for _ in range(3))

    def reply(self, request_id):
        return answer(200, {"Request-Id": request_id,
                            "Response-Stamp": self.stamp(request_id),
                            "Server-Load": "1,0,4"}, self.body(request_id))

    async def handle(self, line, headers, writer):
        request_id = headers.get("request-id", "")
        if headers.get("target-instance") not in (None, self.id):
            writer.write(answer(421, {"Instance-Id": self.id}, b""))
            return
        self.arrivals.append((time.monotonic(), request_id))
        self.case.record("leaf", self.id, "got", request_id)
        await asyncio.sleep(self.work_s)
        writer.write(self.reply(request_id))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)):
                await reader.readexactly(
                    int(head[1].get("content-length", 0)))
                await self.handle(head[0], head[1], writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Case:
    """Store, leafs and node processes of one run, and its record."""

    def __init__(self, name):
        self.folder = os.path.dirname(os.path.abspath(sys.argv[0]))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.name, self.net = name, random.randrange(20, 250)
        self.start_at = time.monotonic()
        self.out = open(os.path.join(self.folder, "record.txt"), "w",
                        encoding="utf-8")
        self.tmp = tempfile.TemporaryDirectory(prefix="review-")
        self.store, self.procs, self.fronts, self.readies = Store(), [], [], []
        self.record("case", name, "trouble", "yes" if self.trouble else "no")

    def record(self, *words):
        at = time.monotonic() - self.start_at
        self.out.write(f"{at:8.3f} " + " ".join(str(w) for w in words) + "\n")

    def ip(self, number):
        return f"127.0.{self.net}.{number}"

    async def start_store(self):
        await self.store.start(self.ip(200))

    def put_config(self, version, routes, services, limits=None):
        config = {"version": version,
                  "routes": [dict({"host": HOST, "priority": 1}, **r)
                             for r in routes],
                  "services": [{"name": s, "health_path": "/health",
                                "max_conns": 26, "protocol": "h1",
                                "tls": False, "warmup_s": 3.0,
                                "cold_per_s": 0.0} for s in services],
                  "limits": limits or {
                      "max_header_bytes": 16384, "max_body_bytes": 262144,
                      "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        self.store.write("op/config", json.dumps(config).encode())

    def start_nodes(self, zones, store_addrs=None):
        store_addrs = store_addrs or [self.store.addr] * len(zones)
        ips = [self.ip(i + 1) for i in range(len(zones))]
        port = free_port(ips[0])
        for i, zone in enumerate(zones):
            front, ready = f"{ips[i]}:{port + 20}", f"{ips[i]}:{port + 21}"
            path = os.path.join(self.tmp.name, f"node{i}.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump({
                    "node_name": f"front-{i}", "role": "node",
                    "machine_class": "front", "serves": ["front", "control"],
                    "ip": ips[i], "zone": zone, "region": "r",
                    "zones": {z: "r" for z in set(zones)},
                    "listen": {"front": front, "ready": ready,
                               "control": f"{ips[i]}:{port + 22}"},
                    "internal_ports": [port, port + 15],
                    "seeds": [f"{ips[zones.index(z)]}:{port + 22}"
                              for z in sorted(set(zones))][:3],
                    "bootstrap": True, "fault_counted": False,
                    "limits": {"cpu_share": 0.25, "cores": 1,
                               "memory_mb": 260, "max_fds": 4100,
                               "link_mbps": 1000.0, "disk_mb": 0},
                    "data_dir": None, "discovery": "platform",
                    "entry": "virtual_ip", "heartbeat_ms": 1200,
                    "contracts": [], "bounds": BOUNDS,
                    "fault_tolerance": {"machines": 1, "zones": 1,
                                        "regions": 0},
                    "platform": {"addr": store_addrs[i], "form": "read",
                                 "writes_per_s": 400, "reads_per_s": 2000,
                                 "history_s": 20, "max_value_bytes": 1048576,
                                 "min_ttl_ms": 1000}}, file)
            self.procs.append(None)
            self.start_node(i)
            self.fronts.append(front)
            self.readies.append(ready)

    def start_node(self, number):
        path = os.path.join(self.tmp.name, f"node{number}.json")
        if self.procs[number]:  # a restart: the system as a whole isn't new
            with open(path, encoding="utf-8") as file:
                settings = json.load(file)
            settings["bootstrap"] = False
            with open(path, "w", encoding="utf-8") as file:
                json.dump(settings, file)
        log = open(os.path.join(self.tmp.name, f"node{number}.log"), "ab")
        self.procs[number] = subprocess.Popen(
            deploy_command(), cwd=ROOT, stdout=log, stderr=log,
            env=dict(os.environ, WASABIMOOR_CONFIG=path))
        log.close()

    async def wait_ready(self, timeout_s=10):
        until = time.monotonic() + timeout_s
        for addr in self.readies:
            while True:
                if time.monotonic() > until:
                    raise RuntimeError("a node was not ready in time")
                try:
                    status, _, _ = await self.ask_once(
                        addr, b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if status == 200:
                        break
                except OSError:
                    pass
                await asyncio.sleep(0.1)

    async def ask_once(self, addr, raw):
        ip, port = addr.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            return await exchange(reader, writer, raw)
        finally:
            writer.close()

    def node_log(self, node):
        path = os.path.join(self.tmp.name, f"node{node}.log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def all_running(self):
        return all(proc.poll() is None for proc in self.procs)

    def end(self):
        for proc in self.procs:
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
            proc.wait()
        self.out.close()
        self.tmp.cleanup()


async def exchange(reader, writer, raw, timeout_s=10):
    """Send raw bytes, read one answer; status 0 if the connection closed."""
    async def run():
        try:
            writer.write(raw)
            head = await read_head(reader)
            if not head:
                return 0, {}, b""
            body = await reader.readexactly(
                int(head[1].get("content-length", 0)))
        except (ConnectionError, asyncio.IncompleteReadError):
            return 0, {}, b""
        return int(head[0].split()[1]), head[1], body
    return await asyncio.wait_for(run(), timeout_s)


def request(path, request_id, deadline_ms, method="GET", headers=(), body=b""):
    head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {request_id}\r\n"
            f"Request-Deadline: {deadline_ms}\r\n")
    head += "".join(f"{k}: {v}\r\n" for k, v in headers)
    if body or method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def run_case(name, scenario):
    """Run the scenario and exit with what it returns: HELD or BROKEN."""
    async def whole():
        case = Case(name)
        try:
            return await asyncio.wait_for(scenario(case), 110)
        except Exception as error:  # the case could not run
            case.record("could not run:", repr(error))
            print("could not run:", repr(error))
            return COULD_NOT_RUN
        finally:
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            case.end()
    def on_signal(number, frame):
        raise SystemExit(COULD_NOT_RUN)  # end() still ends the processes
    signal.signal(signal.SIGTERM, on_signal)
    sys.exit(asyncio.run(whole()))
