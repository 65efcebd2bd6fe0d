"""Entries that ran are answered 503: a late second rejection passes for a reply.

A leaf that is full rejects an entry (Not-Executed) and sends that answer a
second time, late. Meanwhile another request used the connection, and the entry
is sent on it once more. The late answer has the id of the entry, so the node
takes it for the reply to that second sending, which the leaf runs all the same.
"""

import asyncio
import collections
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import stand_2 as stand

ZONES = (["thiva-north"] * 3 + ["thiva-south"] * 2 + ["schimatari"] * 2
         + ["tanagra"] * 2)
PREFIX = "/timi402/"
SERVICE = "winder-status"
LEAF_ZONES = sorted(set(ZONES))
QUEUE = 3
# The nodes that clients are connected to.
BUSY_NODES = [5, 6, 7, 8]
RATE_PER_NODE = 75
SPELLS, SPELL_S, PAUSE_S = 13, 5.0, 2.0
# garble, how = "extra late across": share 0.5 of the leafs, x = 0.04.
GARBLING, EXTRA_SHARE = 2, 0.04
EXTRA_DELAY_S = (0.06, 0.14)


class FaultyLeaf(stand.Leaf):
    """Repeats a part of its answers, late."""

    extras = False

    def after(self, reply, writer):
        if self.extras and random.random() < EXTRA_SHARE:
            asyncio.get_running_loop().call_later(
                random.uniform(*EXTRA_DELAY_S), self.repeat, reply, writer)

    def repeat(self, reply, writer):
        if not writer.is_closing():
            writer.write(reply)
            name = reply.partition(b"Request-Id: ")[2].partition(b"\r")[0]
            self.record.line(f"leaf {self.id}: answer {reply[9:12].decode()} "
                             f"to {name.decode()} sent a second time")


async def case(deployment):
    record = deployment.record
    leafs = [await deployment.add_leaf(f"i-0000000{i}", SERVICE, zone,
                                       kind=FaultyLeaf, slots=3, queue=QUEUE,
                                       work_s=0.12)
             for i, zone in enumerate(LEAF_ZONES)]
    deployment.configure(7, [{
        "name": "r-qmv2937", "host": stand.HOST, "prefix": PREFIX,
        "kind": "non_idempotent", "timeout_ms": 4000, "goal_ms": 400,
        "priority": 2, "service": SERVICE, "max_attempts": 1}],
        [{"name": SERVICE, "health_path": "/health", "max_conns": 110,
          "protocol": "h1", "tls": False, "warmup_s": 3.0,
          "cold_per_s": 0.0}])
    await deployment.start()
    client = stand.Client(deployment)
    load = [asyncio.create_task(client.steady(
        node, RATE_PER_NODE, SPELLS * (SPELL_S + PAUSE_S) + 2, f"{PREFIX}2f",
        4000, "POST", b"x" * 300)) for node in BUSY_NODES]
    await asyncio.sleep(2)
    for _ in range(SPELLS):
        for leaf in leafs[:GARBLING]:
            leaf.extras = stand.trouble()
        await asyncio.sleep(SPELL_S)
        for leaf in leafs:
            leaf.extras = False
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*load)
    await client.finish()

    runs = collections.Counter(r[1] for leaf in leafs for r in leaf.runs)
    status = {a[2]: a[3] for a in client.answers}
    twice = [i for i, n in runs.items() if n > 1]
    refused = [i for i in runs if status.get(i) in (408, 421, 429, 503)]
    record.note(f"{client.served()} of {len(client.answers)} entries served")
    record.note(f"{len(twice)} entries ran twice, {len(refused)} ran and were "
                f"answered 503: {' '.join((twice + refused)[:5])}")
    return not twice and not refused


stand.run(case, HERE, ZONES)
