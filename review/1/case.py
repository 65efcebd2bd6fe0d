"""A leaf leaves while the node that reads the store is killed and restarts."""

import asyncio
import itertools
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
from stand import BOUNDS, BROKEN, HELD, Leaf, request, run_case  # noqa: E402

STABLE_S = BOUNDS["stable_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000
# A killed process is started again after this.
RESTART_S = 0.5
# How long the leaf goes on serving after its entry is gone, and the requests.
SERVES_S, ASKED_S = 6.0, 8.0
WORK_S = 0.08
CALLERS = 4  # at each node
# The lowest address of its zone reads the store for the others.
READER = 0
ROUNDS = 2
NUMBERS = itertools.count(1)
ZONES = ["za", "za", "za", "zb", "zb"]


async def ask(case, node, until, failed):
    """Orders on fresh connections, one after the other, until the time."""
    while time.monotonic() < until:
        request_id = f"n{node}-{next(NUMBERS)}"
        status, headers, _ = await case.ask_once(
            case.fronts[node], request("/orders/2f", request_id, 2000,
                                       "POST", (), b"order"))
        case.record("client", f"node {node}", request_id, status,
                    headers.get("response-stamp", "-"))
        if status != 200:
            failed.append(request_id)
        await asyncio.sleep(0.02)


async def kill_and_restart(case, node):
    case.procs[node].kill()
    case.procs[node].wait()
    case.record("killed: node", node)
    await asyncio.sleep(RESTART_S)
    case.start_node(node)
    case.record("started: node", node)


async def end_leaf(case, leaf):
    await asyncio.sleep(SERVES_S)
    leaf.end()
    case.record("ended:", leaf.id)


async def leave(case, leaver):
    """The leaf leaves; return the requests that reached it too late."""
    restart = None
    if case.trouble:
        restart = asyncio.create_task(kill_and_restart(case, READER))
        await asyncio.sleep(0.2)
    leaver.beating = False
    case.store.write("servers/" + leaver.id, None)
    gone_at = time.monotonic()
    case.record("store", "acknowledged: entry is gone,", leaver.id)
    failed = []
    # The killed node is not asked and not judged: only those in touch.
    await asyncio.gather(*(ask(case, node, gone_at + ASKED_S, failed)
                           for node in range(len(ZONES)) if node != READER
                           for _ in range(CALLERS)),
                         end_leaf(case, leaver))
    if restart:
        await restart
    late = [request_id for at, request_id in leaver.arrivals
            if at > gone_at + DRAIN_S]
    nodes = sorted({request_id.partition("-")[0] for request_id in late})
    case.record("verdict:", len(late), "requests reached", leaver.id,
                f"later than {DRAIN_S} s after its entry was gone, from",
                *(nodes or ["no node"]))
    begun = {request_id for _, request_id in leaver.arrivals}
    cut = [request_id for request_id in failed if request_id in begun]
    case.record("besides:", len(cut), "orders got no 200 after", leaver.id,
                "had begun them:", *cut)
    print(f"{leaver.id}: {len(late)} late requests, from {nodes}; "
          f"{len(cut)} orders cut by its end")
    return late


async def scenario(case):
    await case.start_store()
    leafs = []
    for i in range(6):
        leaf = Leaf(case, f"i-order{i}", "order-book", ("za", "zb")[i % 2],
                    WORK_S)
        await leaf.start(case.ip(100))
        leafs.append(leaf)
    case.put_config(7, [{
        "name": "order-entry", "prefix": "/orders/",
        "kind": "non_idempotent",
        "timeout_ms": 5000, "goal_ms": 500, "service": "order-book",
        "max_attempts": 2}], ["order-book"])
    case.start_nodes(ZONES)
    await case.wait_ready()
    late = []
    for leaver in leafs[:2 * ROUNDS:2]:
        await asyncio.sleep(STABLE_S + 1)
        late += await leave(case, leaver)
    if not case.all_running():
        case.record("a node ended")
    return BROKEN if late else HELD


run_case("leaf leaves while the reader restarts", scenario)
