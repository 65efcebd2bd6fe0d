"""Randomized soak: real nodes as processes, faults from outside them.

    python3 soak/soak.py PROGRAM FIRST COUNT [--seconds S] [--nodes N] [--port P]

Runs seeds FIRST to FIRST + COUNT - 1, prints a line a seed, keeps the logs of
seeds that failed under out/soak/, and ends with "N passed, N failed". It ends
only processes that it started, by their ids.
"""

import argparse
import asyncio
import os
import shutil
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet  # noqa: E402  (stands beside this file)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--port", type=int, default=17000)
    parser.add_argument("--net", type=int, default=40,
                        help="third number of the nodes' addresses")
    args = parser.parse_args()
    failed = 0
    for seed in range(args.first, args.first + args.count):
        fleet = Fleet(args.program, seed, args)
        try:
            asyncio.run(fleet.run())
        finally:
            fleet.close()
        served = sum(1 for a in fleet.answers
                     if a[2] and a[2] != "timed out" and a[2][0] == 200)
        print(f"seed {seed}: {len(fleet.answers)} requests, {served} served, "
              f"{fleet.timed_out} held, {len(fleet.violations)} faults",
              flush=True)
        for text in fleet.violations[:10]:
            print(f"  {text}")
        if fleet.violations:
            failed += 1
            shutil.copytree(fleet.dir, f"out/soak/{seed}", dirs_exist_ok=True)
        shutil.rmtree(fleet.dir)
    print(f"{args.count - failed} passed, {failed} failed")
    sys.exit(failed != 0)


if __name__ == "__main__":
    main()
