"""Real nodes of the tier: from a failed request's id to its cause."""

import argparse
import asyncio
import glob
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "soak"))
from fleet import Fleet  # noqa: E402  (stands in soak/)

NET, SEED = 60, 1


def explain(fleet, request_id):
    logs = glob.glob(os.path.join(fleet.dir, "*.log"))
    done = subprocess.run([fleet.program, "explain", request_id, *logs],
                          capture_output=True, text=True, check=False)
    return done.stdout


async def fail(fleet, kind, spoil, status, cause):
    """Spoils the targets, asks, and reads the cause from the logs."""
    await fleet.begin()
    for leaf in fleet.leafs:
        spoil(leaf)
    # What the first meets is known to the node for the second.
    await fleet.ask(0, kind, "warm-1")
    got = await fleet.ask(0, kind, "bad-1")
    assert got[0] == status, got
    await asyncio.sleep(0.5)
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    story = explain(fleet, "bad-1")
    assert "Cause: " in story and cause in story, story


def run_case(port, kind, spoil, status, cause):
    args = argparse.Namespace(nodes=3, net=NET + port % 100, port=port,
                              seconds=1)
    fleet = Fleet(os.environ["BUILD"] + "/wasabimoor", SEED, args)
    try:
        asyncio.run(fail(fleet, kind, spoil, status, cause))
    finally:
        fleet.close()


def test_refusal_explained(port):
    """All targets reject the entry: the caller hears 503, the log why."""
    def spoil(leaf):
        leaf.shed = 1.0
    run_case(port, "once", spoil, 503, "rejected it as not run")


def test_unknown_outcome_explained(port):
    """The reply is lost after the run: 502, and the target that may know."""
    def spoil(leaf):
        leaf.lose = 1.0
    run_case(port + 1, "once", spoil, 502, "it may have run")


def test_partial_answer_explained(port):
    """Both targets of a shard stand still: the answer leaves it out."""
    def spoil(leaf):
        if leaf.service == "s0":
            leaf.paused_until = 1e12
    run_case(port + 2, "all", spoil, 200, "soft deadline")


def test_blocked_request_explained(port):
    """A request that crashes its targets is refused; the log leads to them."""
    args = argparse.Namespace(nodes=3, net=NET + 9, port=port + 4, seconds=1)
    fleet = Fleet(os.environ["BUILD"] + "/wasabimoor", SEED, args)

    async def go():
        await fleet.begin()
        for i in range(8):
            got = await fleet.ask(i % 3, "all", f"deadly-{i}", "deadly")
            assert got[0] in (502, 503), got
            await asyncio.sleep(1.4)
        assert got[0] == 503, got
        # Its caller may ask other things, which are answered.
        got = await fleet.ask(0, "all", "harmless-1")
        assert got[0] == 200, got
        story = explain(fleet, "deadly-7")
        crashed = fleet.books.crashes[0][1]
        assert "crashed each target that ran them" in story, story
        assert f'request="{crashed}"' in story, story
        assert 'result="connection broke"' in story, story
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)

    try:
        asyncio.run(go())
    finally:
        fleet.close()


def test_stopped_reader(port):
    """Nobody reads a node's output: it serves on as before."""
    args = argparse.Namespace(nodes=1, net=NET + 8, port=port + 3, seconds=1)
    fleet = Fleet(os.environ["BUILD"] + "/wasabimoor", SEED, args)
    read_end, write_end = os.pipe()

    async def go():
        fleet.stdout = write_end
        await fleet.begin()
        for leaf in fleet.leafs:
            leaf.shed = 1.0
        for i in range(400):
            await fleet.ask(0, "once", f"r-{i}")
        got = await asyncio.wait_for(fleet.ask(0, "once", "r-last"), 2)
        assert got[0] == 503, got
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)

    try:
        asyncio.run(go())
    finally:
        fleet.close()
        os.close(read_end)
        os.close(write_end)


TESTS = [test_refusal_explained, test_unknown_outcome_explained,
         test_partial_answer_explained, test_stopped_reader,
         test_blocked_request_explained]
