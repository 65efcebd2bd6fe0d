"""Prints tables of the JSON lines of bench/measure.py, for docs/MEASURES.md.

    python3 bench/report.py FILE...
"""

import collections
import json
import sys

HEAD = ("| scenario | runs | answered | whole | p50 ms | p99 ms | p99.9 ms | "
        "mean coverage | worst 1% | target requests a leaf | cold falls | "
        "refused |")


def span(values, digits):
    low, high = min(values), max(values)
    if f"{low:.{digits}f}" == f"{high:.{digits}f}":
        return f"{low:.{digits}f}"
    return f"{low:.{digits}f}..{high:.{digits}f}"


def table_row(scenario, rows):
    def column(key):
        return [row[key] for row in rows]
    refused = sum(sum(row["refused"].values()) for row in rows)
    cells = [scenario, len(rows), sum(column("answered")),
             sum(column("complete")),
             span(column("p50_ms"), 1), span(column("p99_ms"), 1),
             span(column("p999_ms"), 1), span(column("coverage_mean"), 4),
             span(column("coverage_p01"), 4),
             span(column("target_requests_per_leaf"), 3),
             sum(column("overruns")), refused]
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def main():
    groups = collections.OrderedDict()
    for name in sys.argv[1:]:
        with open(name, encoding="ascii") as file:
            for text in file:
                row = json.loads(text)
                site = row["site"] + (" " + row["label"] if row["label"]
                                      else "")
                groups.setdefault(site, collections.OrderedDict()).setdefault(
                    row["scenario"], []).append(row)
    for site, scenarios in groups.items():
        print(f"## {site}\n\n{HEAD}\n|{' --- |' * HEAD.count('|')}"[:-6])
        for scenario, rows in scenarios.items():
            print(table_row(scenario, rows))
        print()


main()
