"""Fakes of the platform's store and of targets, on loopback.

They implement the part of the platform's protocol that nodes use, and record
the executions that the soak test checks. Faults are fields set by the test.
"""

import asyncio
import base64
import hashlib
import json
import random
import time
from typing import NamedTuple

RECORD = 16
# A request with this in its path crashes each target that runs it.
POISON_PATH = "deadly"
RECORDS = 3
# A second copy of a reply comes this much later.
COPY_DELAY_S = (0.02, 0.1)
# drain_ms, and a moment for this process to read what has arrived.
LATE_S = 3.1


async def read_head(reader):
    """First line and headers (lower-case names), or None at end of file."""
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


async def read_body(reader, headers):
    return await reader.readexactly(int(headers.get("content-length", 0)))


def response(status, headers, body):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{k}: {v}\r\n" for k, v in headers.items())
    return head.encode() + b"\r\n" + body


def broken_response(headers, body):
    """An answer that is none, in one line of its head."""
    status = random.choice(("200", "000", "099", "20", "600", " 200", "0200"))
    name = "X-Broken"
    if status == "200":
        at = random.randrange(len(name))
        name = name[:at] + random.choice(" \t\0\1\r\x7f(") + name[at:]
    return response(status, {name: "1", "X-Broken": "1", **headers}, body)


def part_records(target_id, request_id):
    """Records a target returns for its shard; the checks compute them too."""
    seed = f"{target_id}/{request_id}".encode()
    return [hashlib.md5(seed + bytes([i])).digest() for i in range(RECORDS)]


class Store:
    """Key-value store with revisions, range reads and long-poll watches."""

    def __init__(self):
        self.keys = {}
        self.revision = 1
        self.changed = asyncio.Event()
        self.down = False  # True: replies 503; "stalled": never replies
        self.history_from = 0  # changes up to this revision are forgotten
        self.calls = 0
        self.watching = set()  # connections on which a watch waits
        self.make_reply = None  # (headers, body) -> bytes of another form

    def put(self, key, value):
        self.revision += 1
        self.keys[key] = (value, self.revision)
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        value, revision = self.keys[key]
        if value is None:
            return {"key": key, "revision": revision, "tombstone": True}
        raw = (value if isinstance(value, bytes)
               else json.dumps(value).encode())
        text = base64.b64encode(raw).decode()
        return {"key": key, "value": text, "revision": revision,
                "created": revision, "lease": 0}

    def range(self, prefix):
        items = [self.item(k) for k in sorted(self.keys)
                 if k.startswith(prefix) and self.keys[k][0] is not None]
        return {"items": items, "has_more": False, "as_of": self.revision}

    async def watch(self, after, wait):
        until = time.monotonic() + wait
        while self.revision <= after:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        events = [self.item(k) for k, (_, r) in self.keys.items() if r > after]
        return {"events": events, "as_of": self.revision}

    def reply(self, body):
        if self.make_reply:
            return self.make_reply({}, body)
        return response(200, {}, body)

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)):
                self.calls += 1
                path, _, query = head[0].split()[1].partition("?")
                args = dict(p.partition("=")[::2] for p in query.split("&"))
                while self.down == "stalled":
                    await asyncio.sleep(0.1)
                if self.down:
                    writer.write(response(503, {}, b""))
                elif path == "/kv-range":
                    body = json.dumps(self.range(args["prefix"])).encode()
                    writer.write(self.reply(body))
                elif int(args["after"]) < self.history_from:
                    writer.write(response(410, {}, b""))
                else:
                    self.watching.add(writer)
                    changes = await self.watch(int(args["after"]),
                                               int(args["wait_ms"]) / 1000)
                    self.watching.discard(writer)
                    writer.write(self.reply(json.dumps(changes).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watching.discard(writer)
            writer.close()

    def cut_watches(self):
        for writer in list(self.watching):
            writer.transport.abort()


class Arrival(NamedTuple):
    """A request that a target received; remaining_ms is None without one."""
    at: float
    service: str
    target_id: str
    request_id: str
    remaining_ms: int | None
    ran: bool


class ExecutionLog:
    """Requests that targets received and ran, by request id."""

    def __init__(self):
        self.arrivals = []
        self.runs = {}
        self.late_arrivals = []  # at targets that report that they leave
        self.late_after_removal = []
        # Sent again over the same connection, where a second copy of the
        # first reply cannot be told from the second reply.
        self.repeated_on_connection = []
        self.crashes = []  # (time, request id) of each target crash

    def record_arrival(self, target, request_id, headers, ran):
        remaining = headers.get("request-deadline")
        self.arrivals.append(Arrival(
            time.monotonic(), target.service, target.id, request_id,
            int(remaining) if remaining else None, ran))

    def record_run(self, request_id, target_id):
        self.runs.setdefault(request_id, []).append(target_id)


class Target:
    """A target. Faults are fields: None or 0 when there is none."""

    def __init__(self, ident, service, zone, execution_log, service_time):
        self.id, self.service, self.zone = ident, service, zone
        self.execution_log, self.service_time = execution_log, service_time
        self.slots = asyncio.Semaphore(2)
        self.draining_since = None
        self.removed_since = None
        self.leaves = False  # it is to drain, or to be removed
        self.ended = []  # times of its crashes
        self.link_faults = []  # (start, end) of disturbances of its link
        self.shed_share = self.drop_share = self.duplicate_share = 0.0
        self.copy_share = 0.0  # replies that come once more, later
        self.broken_share = 0.0
        self.paused_until = 0.0
        self.cold_left_ms = 0
        self.server = None
        self.port = 0
        self.born = int(time.time() * 1000)
        self.on_crash = None  # called when a request crashes the target
        self.reply_headers = {}  # besides those that every reply has
        self.make_reply = None  # (headers, body) -> bytes of another form
        self.byte_by_byte = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, addr):
        state = "draining" if self.draining_since else "ready"
        return {"service": self.service, "addr": addr, "zone": self.zone,
                "version": "v1", "slots": 2, "state": state,
                "cold_left_ms": self.cold_left_ms, "seq": 1, "born": self.born}

    async def handle_request(self, head, body):
        request_id = head[1].get("request-id", "")
        if head[1].get("target-instance") not in (None, self.id):
            return response(421, {"Request-Id": request_id,
                                  "Instance-Id": self.id}, b"")
        if (self.draining_since
                and time.monotonic() - self.draining_since > 3.5):
            self.execution_log.late_arrivals.append((self.id, request_id))
        if (self.removed_since
                and time.monotonic() - self.removed_since > LATE_S):
            self.execution_log.late_after_removal.append(
                (self.id, request_id))
        sheds = random.random() < self.shed_share
        self.execution_log.record_arrival(self, request_id, head[1],
                                          not sheds)
        if sheds:
            return response(503, {"Request-Id": request_id,
                                  "Not-Executed": "1"}, b"")
        async with self.slots:
            self.execution_log.record_run(request_id, self.id)
            pause = self.paused_until - time.monotonic()
            await asyncio.sleep(max(pause, 0) + self.service_time *
                                random.uniform(0.5, 1.5))
        if POISON_PATH in head[0]:
            self.execution_log.crashes.append((time.monotonic(), request_id))
            self.on_crash(self)
        if POISON_PATH in head[0] or random.random() < self.drop_share:
            return None
        parts = part_records(self.id, request_id)
        random.shuffle(parts)
        out = body or b"".join(parts)
        headers = {"Request-Id": request_id,
                   "Response-Stamp": f"{self.id}.{request_id}",
                   "Server-Load": "1,0,2", **self.reply_headers}
        if random.random() < self.broken_share:
            return broken_response(headers, out)
        if self.make_reply:
            return self.make_reply(headers, out)
        return response(200, headers, out)

    async def write_reply(self, writer, reply):
        if not self.byte_by_byte:
            writer.write(reply)
            return
        for byte in reply:
            writer.write(bytes((byte,)))
            await writer.drain()
            await asyncio.sleep(0)

    @staticmethod
    def write_late(writer, reply):
        if not writer.is_closing():
            writer.write(reply)

    async def serve(self, reader, writer):
        carried = set()
        try:
            while (head := await read_head(reader)):
                body = await read_body(reader, head[1])
                request_id = head[1].get("request-id", "")
                if request_id in carried:
                    self.execution_log.repeated_on_connection.append(
                        (self.id, request_id))
                carried.add(request_id)
                reply = await self.handle_request(head, body)
                if reply is None:
                    break
                await self.write_reply(writer, reply)
                if random.random() < self.copy_share:
                    asyncio.get_running_loop().call_later(
                        random.uniform(*COPY_DELAY_S), self.write_late,
                        writer, reply)
                if random.random() < self.duplicate_share:
                    await writer.drain()
                    await asyncio.sleep(0.02)
                    writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Proxy:
    """Proxy of a target or the store: can delay, stall, refuse and reset."""

    def __init__(self, get_port):
        self.get_port = get_port
        self.delay = 0.0
        self.stalled = self.replies_stalled = self.refuses = False
        self.conns = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset(self):
        for writer in list(self.conns):
            writer.transport.abort()

    async def pump(self, reader, writer, is_reply):
        try:
            while (data := await reader.read(65536)):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self.stalled or (is_reply and self.replies_stalled):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(
                "127.0.0.1", self.get_port())
        except OSError:
            writer.transport.abort()
            return
        self.conns.add(writer)
        try:
            await asyncio.gather(self.pump(reader, to_writer, False),
                                 self.pump(to_reader, writer, True))
        finally:
            self.conns.discard(writer)
