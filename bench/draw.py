"""Plots the results of bench/policy (JSON lines on standard input).

    for s in 1 2 3; do build/bench/policy hedging $s; build/bench/policy \\
        soft $s; build/bench/policy admission $s; done | python3 bench/draw.py

Writes docs/hedging.png, docs/soft.png and docs/admission.png with gnuplot;
each bar or point is the mean over all seeds.
"""

import collections
import json
import subprocess
import sys

PREAMBLE = "set terminal pngcairo size 760,420\nset grid y\nset key off\n"


def means(rows, part):
    groups = collections.OrderedDict()
    for row in rows:
        if row["part"] == part:
            groups.setdefault(row["choice"], []).append(row)
    return [(choice, {key: sum(r.get(key, 0) for r in group) / len(group)
                      for key in ("p99_ms", "coverage_mean", "goodput",
                                  "requests_per_leaf")})
            for choice, group in groups.items()]


def plot(name, body, data):
    text = PREAMBLE + f"set output 'docs/{name}.png'\n" + body + data + "e\n"
    subprocess.run(["gnuplot"], input=text, text=True, check=True)


def bars(name, title, unit, values):
    body = (f"set title '{title}'\nset ylabel '{unit}'\nset yrange [0:*]\n"
            "set style fill solid 0.6\nset boxwidth 0.7\n"
            "set xtics rotate by -25\nset bmargin 6\nset rmargin 8\n"
            "plot '-' using 2:xtic(1) with boxes\n")
    plot(name, body, "".join(f'"{c}" {v}\n' for c, v in values))


def main():
    rows = [json.loads(line) for line in sys.stdin if line.strip()]
    bars("hedging", "p99 with one straggler at 10x in each question", "ms",
         [(c, m["p99_ms"]) for c, m in means(rows, "hedging")])
    bars("admission", "whole answers a second (slots carry 66)", "1/s",
         [(c, m["goodput"]) for c, m in means(rows, "admission")])
    points = [(m["p99_ms"], m["coverage_mean"], c)
              for c, m in means(rows, "soft")]
    plot("soft", "set title 'Coverage against p99, by soft deadline'\n"
         "set xlabel 'p99, ms'\nset ylabel 'mean coverage'\n"
         "set offsets 1.5, 1.5, 0.002, 0.002\n"
         "plot '-' using 1:2:3 with labels point pt 7 offset 0,1\n",
         "".join('%s %s "%s"\n' % (x, y, c.replace("soft ", ""))
                 for x, y, c in points))


main()
