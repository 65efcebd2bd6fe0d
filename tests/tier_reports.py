"""Process tests of the tier: stops and odd entries that operators reported."""

import asyncio
import json
import signal
import time

import tier_fleet

FIRST_NET, NODES = 100, 3
# grace_s of the settings, without the time to write the last answers.
GRACE_S = 3.0
# A route may allow more time than a stop.
TIMEOUT_MS, WORK_S = 8000, 1.2
CALLERS = 24
STOPPED = (0, 1)


def run_scenario(port, scenario, **options):
    tier_fleet.run_scenario(port, FIRST_NET + port // 400 % 10, scenario,
                            nodes=NODES, **options)


async def call_until_gone(fleet, number, unanswered):
    """One caller of a node, on kept connections, until nobody listens."""
    kind = ("once", "all", "one")[number % 3]
    node = STOPPED[number % len(STOPPED)]
    for count in range(1000):
        request_id = f"s{number}-{count}"
        try:
            reply = await fleet.send_request(node, kind, request_id)
        except (ConnectionRefusedError, asyncio.TimeoutError):
            return
        except (OSError, asyncio.IncompleteReadError):
            reply = None
        if reply is None:
            unanswered.append(request_id)
        elif kind == "once" and reply[0] == 503:
            fleet.not_run_ids.append(request_id)


async def check_stop(fleet):
    for target in fleet.targets:
        target.service_time = WORK_S
        target.slots = asyncio.Semaphore(CALLERS)
    unanswered = []
    callers = [asyncio.create_task(call_until_gone(fleet, i, unanswered))
               for i in range(CALLERS)]
    await asyncio.sleep(0.5)
    start = time.monotonic()
    for node in STOPPED:
        fleet.signal_node(node, signal.SIGTERM)
    await asyncio.wait_for(asyncio.gather(*callers), 4 * GRACE_S)
    for node in STOPPED:
        code = await asyncio.to_thread(fleet.procs[node].wait, GRACE_S)
        assert code == 0, f"node{node} ended with {code}"
    assert time.monotonic() - start < GRACE_S, "the grace period was exceeded"
    fleet.check_executions()
    cut = [r for r in unanswered if fleet.execution_log.runs.get(r)]
    assert not cut, f"passed on and cut: {cut}"
    assert len(fleet.execution_log.runs) > CALLERS, "hardly any request ran"


def test_stop_cuts_no_late_request(port):
    """Two nodes are stopped at once: requests that come late in the grace
    period, of routes that allow more time than it, were cut."""
    run_scenario(port, check_stop, timeout_ms=TIMEOUT_MS)


def odd_entries(valid):
    """Values that another writer may have left among the targets' entries."""
    def changed(**fields):
        return json.dumps(dict(valid, **fields)).encode()

    def spliced(field, text):
        return changed(**{field: "@"}).replace(b'"@"', text)

    values = [b"", b"null", b"[]", b"7", b'"x"', b"{", b"\xff\xfe{}", b"\0",
              b'{"service":"single","service":"s0"}', b"x" * 900000,
              b"[" * 300000 + b"]" * 300000, b"[" * 300000,
              b'{"a":' * 100000 + b"1" + b"}" * 100000]
    values += [spliced(field, text)
               for field in ("slots", "cold_left_ms", "seq", "born")
               for text in (b"1e999", b"-1e999", b"9" * 26, b"-7", b"0.5",
                            b"true", b"null", b'"x"', b"{}")]
    values += [changed(addr=f"127.0.0.1:{port}")
               for port in ("70000", "0", "-1", "9" * 20, "port", "")]
    values += [changed(addr=addr)
               for addr in ("localhost:80", "[::1]:80", "::1:80", "127.0.0.1",
                            "127.0.0.1\0:80", "a" * 5000 + ":80", "", 7, None)]
    values += [changed(state="odd"), changed(service=7), changed(zone=None)]
    return values


def put_odd_entries(fleet):
    # Some are read all the same; no route has their service.
    valid = dict(fleet.targets[-1].entry("127.0.0.1:1"), service="none")
    values = odd_entries(valid)
    for i, value in enumerate(values):
        fleet.store.put(f"servers/odd-{i}", value)
    fleet.store.put("servers/" + "k" * 192, values[0])
    fleet.store.put("servers/", values[0])
    for key in ("", "q", "q" * 187, "\0", "q/za", "\u00e4"):
        fleet.store.put("op/evacuate/" + key, values[-1])
    return values


async def check_serves(fleet, name):
    for node in range(NODES):
        assert fleet.procs[node].poll() is None, f"{name}: node{node} ended"
        for kind in ("one", "once", "all"):
            request_id = f"{name}-{kind}-{node}"
            reply = await asyncio.wait_for(
                fleet.send_request(node, kind, request_id), 3)
            assert reply and reply[0] == 200, f"{request_id}: {reply}"
            fleet.check_reply(kind, request_id, reply)


async def check_follows(fleet, limit):
    """A version that comes behind the odd entries is in force."""
    fleet.limits["max_header_bytes"] = limit
    fleet.version += 1
    fleet.configure()
    await asyncio.sleep(1.0)
    for node in range(NODES):
        status, _, _ = await fleet.send_request(
            node, "one", f"limit-{limit}-{node}",
            headers="X: " + "x" * limit + "\r\n")
        assert status == 431, f"node{node}: limit {limit} is not in force"


async def check_entries(fleet):
    values = put_odd_entries(fleet)
    await asyncio.sleep(1.0)
    await check_serves(fleet, "entries")
    await check_follows(fleet, 8000)
    for value in values:
        fleet.store.put("op/config", value)
        await asyncio.sleep(0.02)
    await check_serves(fleet, "config")
    fleet.procs[2].kill()
    fleet.procs[2].wait()
    await check_follows_after_start(fleet, values)


async def check_follows_after_start(fleet, values):
    """One starts while odd entries change, and the list is at its end."""
    fleet.limits["max_header_bytes"] = 6000
    fleet.version += 1
    fleet.configure()
    fleet.start_node(2)
    for i, value in enumerate(values):
        fleet.store.put(f"servers/odd-{i}", value)
        await asyncio.sleep(0.005)
    await fleet.wait_ready()
    await check_serves(fleet, "started")
    await check_follows(fleet, 5000)


def test_odd_entries_change_nothing(port):
    """One odd entry ended the nodes that read the list, or stopped them from
    following it."""
    run_scenario(port, check_entries)


TESTS = [test_stop_cuts_no_late_request, test_odd_entries_change_nothing]
