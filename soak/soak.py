"""Randomized soak test: node processes with faults injected from outside.

    python3 soak/soak.py PROGRAM FIRST COUNT
                         [--seconds S] [--nodes N] [--port P] [--net N]
                         [--shape small|narrow|site] [--faults NAMES]
                         [--lost-share X] [--poison-gap X]

Runs seeds FIRST to FIRST + COUNT - 1 and prints one line for each seed and
"N passed, N failed" at the end. The logs of failed seeds are kept under
out/soak/. Only processes started here are killed, by process id.
"""

import argparse
import asyncio
import os
import shutil
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet, SHAPES  # noqa: E402  (needs the path set above)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--port", type=int, default=17000)
    parser.add_argument("--net", type=int, default=40,
                        help="third octet of the nodes' IP addresses")
    parser.add_argument("--shape", choices=SHAPES, default="small")
    parser.add_argument("--faults", default="mixed",
                        help="mixed, restarts, removals, cuts, copies, "
                        "broken, or "
                        "names of faults: "
                        "kill_each,pause_node")
    parser.add_argument("--lost-share", type=float, default=0,
                        help="part of the replies that all targets lose")
    parser.add_argument("--poison-gap", type=float, default=1,
                        help="factor of the pauses between poison requests; "
                        "0 for none of them")
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
              f"{fleet.timed_out} held, {len(fleet.violations)} faults; "
              f"{fleet.budget_summary()}", flush=True)
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
