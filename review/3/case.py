"""Requests with many cookies, within max_header_bytes, on kept connections."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
from stand import (BOUNDS, BROKEN, HELD, Leaf, answer,  # noqa: E402
                   exchange, request, run_case)

STABLE_S = BOUNDS["stable_ms"] / 1000
MAX_HEADER_BYTES = 16384  # what the configuration in the store says
REQUESTS = 24
# The rule allows three.
ALLOWED = 3
COOKIES, COOKIE_BYTES = 70, 190  # 13.5 kB in all
NOTES, NOTE_BYTES = 12, 170  # a leaf's answer has 2 kB of headers


class OrderBook(Leaf):
    """A sound leaf whose answers have some headers of their own."""

    def reply(self, request_id):
        headers = {"Request-Id": request_id,
                   "Response-Stamp": self.stamp(request_id),
                   "Server-Load": "1,0,4"}
        for i in range(NOTES):
            headers[f"Order-Note-{i:02d}"] = "n" * (NOTE_BYTES - 18)
        return answer(200, headers, self.body(request_id))


async def scenario(case):
    await case.start_store()
    leafs = []
    for i in range(4):
        leaf = OrderBook(case, f"i-order{i}", "order-book", ("za", "zb")[i % 2])
        await leaf.start(case.ip(100))
        leafs.append(leaf)
    case.put_config(7, [{
        "name": "order-entry", "prefix": "/orders/", "kind": "non_idempotent",
        "timeout_ms": 5000, "goal_ms": 500, "service": "order-book",
        "max_attempts": 2}], ["order-book"])
    case.start_nodes(["za", "zb"])
    await case.wait_ready()
    await asyncio.sleep(STABLE_S + 1)
    cookies = "; ".join(f"c{i:02d}=" + "v" * (COOKIE_BYTES - 6)
                        for i in range(COOKIES))
    headers = [("Cookie", cookies)] if case.trouble else [("Cookie", "c=v")]
    lost = 0
    for n in range(REQUESTS):
        ip, port = case.fronts[n % 2].split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        first = await exchange(reader, writer, request(
            "/orders/2f", f"small{n}", 3000, "POST", (), b"order"))
        request_id = f"large{n}"
        raw = request("/orders/2f", request_id, 3000, "POST", headers,
                      b"order")
        size = raw.index(b"\r\n\r\n") + 4
        assert size <= MAX_HEADER_BYTES
        sent_at = time.monotonic()
        status, _, _ = await exchange(reader, writer, raw)
        took = time.monotonic() - sent_at
        writer.close()
        ran = sum(r == request_id for leaf in leafs for _, r in leaf.arrivals)
        case.record("client", request_id, f"header {size} bytes, first",
                    first[0], "then", status or "closed without an answer",
                    f"after {took * 1000:.0f} ms, ran {ran} times")
        lost += status == 0 and ran > 0
        await asyncio.sleep(0.2)
    case.record("verdict:", lost, "of", REQUESTS, "requests were passed on to "
                "a sound leaf, which answered, and their kept connection was "
                "closed without an answer")
    print(f"{lost} of {REQUESTS} lost")
    if not case.all_running():
        case.record("a node ended")
    return BROKEN if lost > ALLOWED else HELD


run_case("large header", scenario)
