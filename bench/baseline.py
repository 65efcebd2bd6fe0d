"""Baseline: one node and 113 leafs at increasing rates of questions.

    python3 bench/baseline.py [SECONDS]

Prints one JSON line for each rate, with the node's CPU time per question and
the latencies.
"""

import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests"))

from cluster import BUILD, THIVA, Cluster  # noqa: E402

RATES = (10, 25, 50, 75, 100)


def cpu_s(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main():
    seconds = sys.argv[1] if len(sys.argv) > 1 else "5"
    with Cluster(THIVA, nodes=1, base=16000,
                 targets=["service_us=1000"]) as c:
        pid = c.procs["node0"].pid

        def run(rate):
            before = cpu_s(pid)
            done = subprocess.run(
                [f"{BUILD}/bench/load", c.nodes[0]["callers"], str(rate),
                 seconds, "mill-7", ",".join(c.site["indexes"])],
                stdout=subprocess.PIPE, check=True)
            got = json.loads(done.stdout)
            got["cpu_ms_per_question"] = round(
                (cpu_s(pid) - before) * 1000 / max(1, got["sent"]), 3)
            return got
        run(25)
        for rate in RATES:
            print(json.dumps(run(rate)), flush=True)


main()
