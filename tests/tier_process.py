"""Process tests of the tier: explain finds the cause of a failed request."""

import argparse
import asyncio
import glob
import os
import signal
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "soak"))
from fleet import Fleet  # noqa: E402  (in soak/)

FIRST_NET, SEED = 60, 1


def explain(fleet, request_id):
    logs = glob.glob(os.path.join(fleet.dir, "*.log"))
    done = subprocess.run([fleet.program, "explain", request_id, *logs],
                          capture_output=True, text=True, check=False)
    return done.stdout


async def check_cause(fleet, kind, break_target, status, cause):
    """Break the targets, send requests, and check the cause in the logs."""
    await fleet.start_all()
    for target in fleet.targets:
        break_target(target)
    # The node has detected the fault once when it handles the second request.
    await fleet.send_request(0, kind, "warm-1")
    reply = await fleet.send_request(0, kind, "bad-1")
    assert reply[0] == status, reply
    await asyncio.sleep(0.5)
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    explanation = explain(fleet, "bad-1")
    assert "Cause: " in explanation and cause in explanation, explanation


def run_case(port, kind, break_target, status, cause):
    args = argparse.Namespace(shape="small", nodes=3,
                              net=FIRST_NET + port % 100, port=port,
                              seconds=1)
    fleet = Fleet(os.environ["BUILD"] + "/wasabimoor", SEED, args)
    try:
        asyncio.run(check_cause(fleet, kind, break_target, status, cause))
    finally:
        fleet.close()


def test_refusal_explained(port):
    """All targets reject the entry: the caller receives 503, and the log has
    the cause."""
    def break_target(target):
        target.shed_share = 1.0
    run_case(port, "once", break_target, 503, "rejected it as not run")


async def check_reload_at_start(fleet):
    """The settings are a pipe, so that the process waits for them."""
    await fleet.start_all()
    path = os.path.join(fleet.dir, "node0.json")
    fleet.procs[0].kill()
    fleet.procs[0].wait()
    os.rename(path, path + ".new")
    os.mkfifo(path)
    fleet.procs[0] = subprocess.Popen(
        [fleet.program, "tier"], stdout=subprocess.DEVNULL,
        env=dict(os.environ, WASABIMOOR_CONFIG=path))
    await asyncio.sleep(0.5)
    fleet.procs[0].send_signal(signal.SIGHUP)
    await asyncio.sleep(0.2)
    assert fleet.procs[0].poll() is None, "ended by the signal"
    with open(path + ".new", "rb") as file:
        settings = file.read()
    with open(path, "wb") as pipe:
        os.rename(path + ".new", path)
        pipe.write(settings)
    await fleet.wait_ready()
    assert not fleet.violations, fleet.violations
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)


def test_reload_signal_at_start(port):
    """A reload that came while a node read its settings ended the node."""
    args = argparse.Namespace(shape="small", nodes=1,
                              net=FIRST_NET + port % 100, port=port,
                              seconds=1)
    fleet = Fleet(os.environ["BUILD"] + "/wasabimoor", SEED, args)
    try:
        asyncio.run(check_reload_at_start(fleet))
    finally:
        fleet.close()


def test_unknown_outcome_explained(port):
    """The reply is lost after the request ran: the caller receives 502, and
    the log reports that the request may have run."""
    def break_target(target):
        target.drop_share = 1.0
    run_case(port + 1, "once", break_target, 502, "it may have run")


def test_broken_answer_explained(port):
    """The target's answer is none: the caller receives 502, and the log says
    what came and that the request may have run."""
    def break_target(target):
        target.make_reply = lambda headers, body: (
            b"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")
    run_case(port + 3, "once", break_target, 502, "reply is no HTTP")
    run_case(port + 5, "once", break_target, 502, "it may have run")


def test_partial_answer_explained(port):
    """Both targets of a shard hang: the answer leaves the shard out."""
    def break_target(target):
        if target.service == "s0":
            target.paused_until = 1e12
    run_case(port + 2, "all", break_target, 200, "soft deadline")


def test_blocked_request_explained(port):
    """A request that crashes its targets is refused, and the log names the
    earlier request that crashed them."""
    args = argparse.Namespace(shape="small", nodes=3,
                              net=FIRST_NET + 9, port=port + 4,
                              seconds=1)
    fleet = Fleet(os.environ["BUILD"] + "/wasabimoor", SEED, args)

    async def scenario():
        await fleet.start_all()
        for i in range(8):
            reply = await fleet.send_request(i % 3, "all", f"deadly-{i}",
                                             "deadly")
            assert reply[0] in (502, 503), reply
            await asyncio.sleep(1.4)
        assert reply[0] == 503, reply
        # Other requests of the same caller are still served.
        reply = await fleet.send_request(0, "all", "harmless-1")
        assert reply[0] == 200, reply
        explanation = explain(fleet, "deadly-7")
        crashed = fleet.execution_log.crashes[0][1]
        assert "crashed each target that ran them" in explanation, explanation
        assert f'request="{crashed}"' in explanation, explanation
        assert 'result="connection broke"' in explanation, explanation
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)

    try:
        asyncio.run(scenario())
    finally:
        fleet.close()


def test_stopped_reader(port):
    """A node whose output is never read keeps serving."""
    args = argparse.Namespace(shape="small", nodes=1,
                              net=FIRST_NET + 8, port=port + 3,
                              seconds=1)
    fleet = Fleet(os.environ["BUILD"] + "/wasabimoor", SEED, args)
    read_end, write_end = os.pipe()

    async def scenario():
        fleet.stdout = write_end
        await fleet.start_all()
        for target in fleet.targets:
            target.shed_share = 1.0
        for i in range(400):
            await fleet.send_request(0, "once", f"r-{i}")
        reply = await asyncio.wait_for(
            fleet.send_request(0, "once", "r-last"), 2)
        assert reply[0] == 503, reply
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)

    try:
        asyncio.run(scenario())
    finally:
        fleet.close()
        os.close(read_end)
        os.close(write_end)


TESTS = [test_refusal_explained, test_unknown_outcome_explained,
         test_partial_answer_explained, test_broken_answer_explained,
         test_stopped_reader,
         test_blocked_request_explained, test_reload_signal_at_start]
