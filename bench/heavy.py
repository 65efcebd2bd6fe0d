"""Plots the results of two versions for the load patterns of check_load.c.

    OLD/tests/check-load >old.txt; build/tests/check-load >new.txt
    python3 bench/heavy.py old.txt new.txt

Writes docs/heavy-days.png with gnuplot: for each pattern of tests/check_load.c
the credit before and after, which is the mean squared share of shards whose
replies arrive by the goal.
"""

import re
import subprocess
import sys

LINE = re.compile(r"^(.+?) +credit ([\d.]+), failed ([\d.]+), retries "
                  r"([\d.]+) %", re.M)
PLOT = """set terminal pngcairo size 820,440
set output 'docs/heavy-days.png'
set title 'whole answers by their goal, by kind of heavy day'
set ylabel 'credit'
set yrange [0:1.05]
set grid y
set key outside top center horizontal
set style data histogram
set style histogram clustered gap 1
set style fill solid 0.6
set xtics rotate by -25
set bmargin 6
set rmargin 14
plot '-' using 2:xtic(1) title 'before', '-' using 2 title 'after'
"""


def read_credits(path):
    with open(path, encoding="utf-8") as file:
        return {m[1]: float(m[2]) for m in LINE.finditer(file.read())}


def main():
    old, new = read_credits(sys.argv[1]), read_credits(sys.argv[2])
    names = [name for name in new if name in old]
    rows = ["".join(f'"{name}" {run[name]}\n' for name in names) + "e\n"
            for run in (old, new)]
    subprocess.run(["gnuplot"], input=PLOT + "".join(rows), text=True,
                   check=True)


main()
