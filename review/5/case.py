"""A leaf leaves without notice just after the store has cut a watch.

The node that reads the store for its zone learns of the removal at once, but
passes it on only with its next read, over a second later. It also reports the
cut watch as a loss of the store. So the other nodes of the zone take the
removal for an entry that lapsed meanwhile, and use the leaf for two seconds
more: longer than drain_ms after the acknowledgement.
"""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import stand_2 as stand

ZONES = (["thiva-north"] * 3 + ["thiva-south"] * 2 + ["schimatari"] * 2
         + ["tanagra"] * 2)
PREFIX = "/timi402/"
DRAIN_S = stand.BOUNDS["drain_ms"] / 1000
# The store cuts the watches that wait once, this long before the removal.
CUT_BEFORE_S = 0.1
# The leaf serves for drain_ms and a little longer, and ends.
LEAF_ENDS_S = 3.3
RATE_PER_NODE = 12


async def case(deployment):
    record, store = deployment.record, deployment.store
    for i, zone in enumerate(ZONES):
        await deployment.add_leaf(f"i-{i:08x}", "order-book", zone, slots=3,
                                  work_s=0.1 if i == 2 else 0.12)
    deployment.configure(7, [{
        "name": "r-qmv2937", "host": stand.HOST, "prefix": PREFIX,
        "kind": "non_idempotent", "timeout_ms": 5000, "goal_ms": 500,
        "priority": 2, "service": "order-book", "max_attempts": 2}],
        [{"name": "order-book", "health_path": "/health", "max_conns": 110,
          "protocol": "h1", "tls": False, "warmup_s": 3.0,
          "cold_per_s": 0.0}])
    await deployment.start()
    client = stand.Client(deployment)
    load = [asyncio.create_task(client.steady(
        node, RATE_PER_NODE, 16, f"{PREFIX}2f", 5000, "POST", b"x" * 300))
        for node in range(len(ZONES))]
    # All machines are calm for longer than stable_ms.
    await asyncio.sleep(7)

    # All readers have just read, so that their watches wait.
    seen = store.served[0]
    while store.served[0] == seen:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.05)
    if stand.trouble():
        record.note(f"{store.cut_watches()} waiting watches are cut")
    else:
        record.note("no watch is cut")
    await asyncio.sleep(CUT_BEFORE_S)
    leaf = deployment.leafs["i-00000002"]
    leaf.unpublish()
    acked = time.monotonic()
    record.note(f"the entry of leaf {leaf.id} is removed")
    await asyncio.sleep(LEAF_ENDS_S)
    lost = leaf.running
    leaf.crash()
    record.note(f"leaf {leaf.id} ends, with {lost} entries under way")
    await asyncio.gather(*load)
    await client.finish()

    late = [a for a in leaf.arrivals if a[0] > acked + DRAIN_S]
    record.note(f"{client.served()} of {len(client.answers)} entries served")
    record.note(f"{len(late)} entries reached the removed leaf later than "
                f"{DRAIN_S} s after the acknowledgement" + (
                    f", the last {late[-1][0] - acked:.2f} s after it"
                    if late else ""))
    return not late


stand.run(case, HERE, ZONES)
