"""The leafs of a service crash and come back cold: one request a node each.

A node's part of the bound for a cold leaf is the bound divided by the nodes,
but at least one request a second. With more nodes than the bound has requests,
all nodes together send more than the bound.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import stand_2 as stand

ZONES = (["thiva-north"] * 3 + ["thiva-south"] * 2 + ["schimatari"] * 2
         + ["tanagra"] * 2)
PREFIX = "/timi402/"
SERVICE = "roll-finder"
WARMUP_S, COLD_PER_S = 3.0, 2
BOUND = (COLD_PER_S * stand.BOUNDS["cold_multiplier"]
         + stand.BOUNDS["cold_slack"])
# All leafs of the service are down for this long: srv_crash, how = "all".
DOWN_S = 4.5
RATE_PER_NODE = 4


async def case(deployment):
    record = deployment.record
    leafs = [await deployment.add_leaf(f"i-0000000{i}", SERVICE, zone, kind=stand.ColdLeaf,
                                       slots=3, work_s=0.1)
             for i, zone in enumerate(("thiva-north", "thiva-south"))]
    deployment.configure(7, [{
        "name": "r-qmv2937", "host": stand.HOST, "prefix": PREFIX,
        "kind": "non_idempotent", "timeout_ms": 5000, "goal_ms": 500,
        "priority": 2, "service": SERVICE, "max_attempts": 2}],
        [{"name": SERVICE, "health_path": "/health", "max_conns": 26,
          "protocol": "h1", "tls": False, "warmup_s": WARMUP_S,
          "cold_per_s": COLD_PER_S}])
    await deployment.start()
    client = stand.Client(deployment)
    load = [asyncio.create_task(client.steady(
        node, RATE_PER_NODE, 14, f"{PREFIX}2f", 5000, "POST", b"x" * 300))
        for node in range(len(ZONES))]
    await asyncio.sleep(5)

    cold = leafs
    if stand.trouble():
        record.note("both leafs of the service crash")
        for leaf in leafs:
            leaf.crash()
        await asyncio.sleep(DOWN_S)
        cold = [await deployment.add_leaf(f"i-0000001{i}", SERVICE, leaf.zone,
                                          cold_s=WARMUP_S, kind=stand.ColdLeaf, slots=3, work_s=0.1)
                for i, leaf in enumerate(leafs)]
        for leaf in cold:
            leaf.bound = BOUND
        for leaf in leafs:
            leaf.unpublish()
        record.note(f"both are back, cold for {WARMUP_S} s")
    else:
        record.note("no disruption, so no leaf is cold")
    await asyncio.gather(*load)
    await client.finish()

    record.note(f"{client.served()} of {len(client.answers)} entries served")
    for leaf in cold:
        record.note(f"leaf {leaf.id}: {leaf.worst} requests in its worst second "
                    f"while cold, the bound is {BOUND:g}; {leaf.cut} entries "
                    "that it ran were lost")
    return all(leaf.worst <= BOUND for leaf in cold)


stand.run(case, HERE, ZONES)
