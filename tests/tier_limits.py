"""Process tests of the tier: the configuration's limits are those in force."""

import asyncio
import time
from typing import NamedTuple

import tier_fleet  # also makes the modules of soak/ known
import fakes

FIRST_NET = 80
ANSWER_S = 3.0


def cookies(count, size):
    """A Cookie header with this many cookies of this many bytes."""
    return "Cookie: " + "; ".join(
        f"c{i:03d}=".ljust(size, "v") for i in range(count)) + "\r\n"


def lines(count, size):
    """This many headers, each with a line of this many bytes."""
    return "".join(f"X-Line-{i:04d}: ".ljust(size - 2, "v") + "\r\n"
                   for i in range(count))


class Large(NamedTuple):
    """A large request, or the answer to one, within the limit."""
    kind: str
    max_header_bytes: int
    path: str
    headers: str
    reply_headers: int = 0  # how many the target adds, of 190 bytes each


LARGE = {
    "70 cookies, 13 kB": Large("once", 16384, "", cookies(70, 188), 12),
    "70 cookies, answer 7 kB": Large("once", 16384, "", cookies(70, 188), 40),
    "83 cookies, 16 kB": Large("once", 16384, "", cookies(83, 190)),
    "700 cookies, 14 kB": Large("once", 16384, "", cookies(700, 18)),
    "57 kB": Large("once", 65536, "", cookies(300, 186)),
    "800 parameters": Large(
        "one", 16384, "q?" + "&".join(f"p{i}=v{i}" for i in range(800)), ""),
    "5,000 parameters": Large("one", 16384, "q?" + "a&" * 5000, ""),
    "500 headers": Large("one", 16384, "", lines(500, 24)),
    "merged, 16 kB": Large("all", 16384, "", cookies(83, 190)),
    "answer of 100 headers": Large("once", 16384, "", "", 100),
}


def run_scenario(port, scenario, **limits):
    tier_fleet.run_scenario(port, FIRST_NET + port % 100, scenario, **limits)


async def check_served(fleet, name, case):
    """Sent on a kept connection, as callers do."""
    request_id = "large-" + name.replace(" ", "-").replace(",", "")
    added = {f"X-Note-{i}": "n" * 176 for i in range(case.reply_headers)}
    for target in fleet.targets:
        target.reply_headers = added
    await fleet.send_request(0, "once", "small-" + request_id)
    status, headers, _ = await asyncio.wait_for(
        fleet.send_request(0, case.kind, request_id, case.path or None,
                           case.headers), ANSWER_S) or (0, {}, b"")
    ran = fleet.execution_log.runs.get(request_id, [])
    assert status == 200, f"{name}: status {status}, ran at {ran}"
    assert case.kind == "all" or len(ran) == 1, f"{name}: ran at {ran}"
    missing = [n for n in added if n.lower() not in headers]
    assert not missing, f"{name}: the answer lacks {missing}"


async def configure(fleet, **limits):
    """Publish a version with other limits; wait until it is in force."""
    fleet.limits.update(limits)
    fleet.version += 1
    fleet.configure()
    await asyncio.sleep(0.7)


def test_large_headers_served(port):
    """Headers within the limit, and answers of any, cost no answer: an order
    ran and its connection was closed, or was refused, or stayed silent."""
    async def scenario(fleet):
        failed = []
        for name, case in LARGE.items():
            if case.max_header_bytes != fleet.limits["max_header_bytes"]:
                await configure(fleet,
                                max_header_bytes=case.max_header_bytes)
            try:
                await check_served(fleet, name, case)
            except (AssertionError, asyncio.TimeoutError) as error:
                failed.append(f"{name}: {error!r}")
        assert not failed, "\n".join(failed)
    run_scenario(port, scenario)


def test_headers_over_limit_refused(port):
    """Headers beyond the limit in force are refused at once, and not run."""
    async def scenario(fleet):
        for limit in (16384, 4096, 65536):
            await configure(fleet, max_header_bytes=limit)
            for extra, expected in ((-400, 200), (1, 431)):
                request_id = f"limit-{limit}-{expected}"
                start = time.monotonic()
                status, _, _ = await asyncio.wait_for(
                    fleet.send_request(
                        0, "once", request_id,
                        headers=cookies(1, limit + extra)), ANSWER_S)
                ran = request_id in fleet.execution_log.runs
                assert status == expected, f"{request_id}: {status}"
                assert ran == (expected == 200), request_id
                assert time.monotonic() - start < 1, request_id
    run_scenario(port + 1, scenario)


async def open_caller(fleet):
    return await asyncio.open_connection(fleet.ip(0), fleet.args.port + 11)


def test_timeouts_follow_configuration(port):
    """Idle connections and slow headers end after the times in force, not
    after a constant, and connections that are used earlier never do."""
    async def scenario(fleet):
        for _ in range(3):
            await asyncio.sleep(0.8)  # four fifths of the limit
            assert (await fleet.send_request(0, "one", "idle"))[0] == 200
        kept = fleet.conns[0]
        assert len(kept) == 1, "the kept connection was not kept"
        assert await asyncio.wait_for(kept[0][0].read(), 2) == b""
        reader, writer = await open_caller(fleet)
        writer.write(b"GET /one/slow HTTP/1.1\r\nHost: h.exa")
        head = await asyncio.wait_for(fakes.read_head(reader), 2)
        assert head and head[0].split()[1] == "408", head
        writer.close()
    run_scenario(port + 2, scenario, idle_timeout_ms=1000,
                 header_timeout_ms=700)


TESTS = [test_large_headers_served, test_headers_over_limit_refused,
         test_timeouts_follow_configuration]
