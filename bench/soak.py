"""Memory growth: resident memory of each node under steady load.

    python3 bench/soak.py [SECONDS [RATE]]

Prints a JSON line with the nodes' resident kB every ten seconds, and at the
end the growth from the second line to the last one.
"""

import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests"))

from cluster import BUILD, THIVA, Cluster  # noqa: E402

INTERVAL_S = 10


def resident_kb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    return 0


def main():
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else 120
    rate = sys.argv[2] if len(sys.argv) > 2 else "30"
    with Cluster(THIVA, nodes=3, base=17000) as c:
        pids = [c.procs[n["name"]].pid for n in c.nodes]
        load = subprocess.Popen(
            [f"{BUILD}/bench/load", ",".join(n["callers"] for n in c.nodes),
             rate, str(seconds), "mill-7", ",".join(c.site["indexes"])],
            stdout=subprocess.PIPE)
        lines = []
        for i in range(seconds // INTERVAL_S):
            time.sleep(INTERVAL_S)
            c.enter(0, f"o{i}", c.ticket(1, f"o{i}")["ticket"], key=i)
            c.publish_fleet(lambda f: None)
            lines.append([resident_kb(pid) for pid in pids])
            print(json.dumps({"second": INTERVAL_S * (i + 1),
                              "resident_kb": lines[-1]}), flush=True)
        got = json.loads(load.communicate()[0])
        growth = [b - a for a, b in zip(lines[1], lines[-1])]
        print(json.dumps({"answered": got["answered"], "wrong": got["wrong"],
                          "growth_kb": growth}))


main()
