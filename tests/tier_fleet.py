"""Runs a scenario of a process test on a fleet of the soak."""

import argparse
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "soak"))
from fleet import Fleet  # noqa: E402  (in soak/)

SEED = 1


def run_scenario(port, net, scenario, nodes=2, timeout_ms=1500, **limits):
    """Start a small fleet, run the scenario on it, and end its processes."""
    args = argparse.Namespace(shape="small", nodes=nodes, port=port,
                              seconds=1, net=net)
    fleet = Fleet(os.environ["BUILD"] + "/wasabimoor", SEED, args)
    fleet.timeout_ms = timeout_ms
    fleet.limits.update(limits)

    async def whole():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        await fleet.start_all()
        await scenario(fleet)

    try:
        asyncio.run(whole())
    finally:
        fleet.close()
    assert not fleet.violations, fleet.violations
