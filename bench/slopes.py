"""Fits lines to the results of bench/reducer: y = a + b x, with the residual.

    python3 bench/slopes.py

Runs every part of the reducer benchmark in the build directory BUILD and
prints one line for each fit.
"""

import json
import os
import subprocess

BUILD = os.environ.get("BUILD", "build")
SLOPES = [  # part, key of y, filter of rows, label
    ("leafs", "us_per_question", lambda r: r["x"] == r["targets"],
     "processor time of a question over its leafs"),
    ("leafs", "bytes_per_question", lambda r: r["x"] == r["targets"],
     "bytes of an open question over its leafs"),
    ("targets", "bytes", lambda r: r["vms"] == 9,
     "bytes over known targets"),
    ("targets", "view_change_ms", lambda r: r["x"] == 5600,
     "review of the gates over VMs, 5,600 targets"),
    ("joins", "cpu_ms", lambda r: True,
     "processor time to hear all VMs within a second, 5,600 targets"),
    ("members", "us_per_period", lambda r: True,
     "processor time of a heartbeat period over VMs"),
    ("members", "bytes_per_s_each_way", lambda r: True,
     "bytes a second each way over VMs, all-to-all"),
    ("docs", "body_bytes", lambda r: r["vms"] == 9,
     "bytes of the fleet document over targets, one snapshot"),
    ("docs", "parse_ms", lambda r: r["vms"] == 9,
     "time to take the fleet document over targets"),
    ("customers", "bytes", lambda r: True, "bytes over customers seen"),
    ("records", "bytes", lambda r: True, "bytes over records of entries"),
]


def fit(points):
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    b = (sum((x - mean_x) * (y - mean_y) for x, y in points) /
         sum((x - mean_x) ** 2 for x, _ in points))
    a = mean_y - b * mean_x
    worst = max(abs(y - a - b * x) for x, y in points)
    return a, b, worst / max(abs(y) for _, y in points)


def main():
    rows = {}
    for part in dict.fromkeys(s[0] for s in SLOPES):
        out = subprocess.run([f"{BUILD}/bench/reducer", part],
                             capture_output=True, text=True, check=True)
        rows[part] = [json.loads(line) for line in out.stdout.splitlines()]
    for part, key, select, label in SLOPES:
        points = [(r["vms"] if key == "view_change_ms" else r["x"], r[key])
                  for r in rows[part] if select(r)]
        a, b, residual = fit(points)
        print(f"{label}: {a:.4g} + {b:.4g} x, sizes "
              f"{sorted({x for x, _ in points})}, worst residual "
              f"{100 * residual:.1f}% of the largest")


main()
