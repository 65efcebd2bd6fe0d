"""Small copy of the Thiva deployment: fake targets, six nodes, one question,
one order, one domain change and one planned stop of all nodes."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests"))

from cluster import THIVA, Cluster, wait_for  # noqa: E402

INDEXES = ["order_book", "roll_finder"]


def report(text):
    print(text, flush=True)


def main():
    report("starting the platform, 113 targets and 6 nodes")
    with Cluster(THIVA, nodes=6) as c:
        answer = c.ask(0, "board 3 mm", INDEXES)[1]
        report(f"question over {', '.join(INDEXES)}: "
               f"{len(answer['rows'])} rows, "
               f"snapshot {answer['snapshot']}, coverage "
               f"{answer['coverage']:.4f}, {answer['elapsed_ms']:.1f} ms")

        ticket = c.ticket(1, "order-4711")["ticket"]
        for node in (2, 3):
            outcome = c.enter(node, "order-4711", ticket,
                              index="order_book", key=10)[1]["outcome"]
            report(f"order-4711 entered at node {node}: {outcome}")
        stats = c.stats()
        report(f"the targets' books: {stats['entries']} order, run "
               f"{stats['max_runs']} time")

        domain = "schimatari"
        c.publish_fleet(lambda f: f["domains"][2].update(state="out"))
        for node in c.nodes:
            wait_for(lambda n=node: c.status(n)["fleet"]["version"] == 2,
                     "the change is in force")
        before = requests_started(c, domain)
        coverage = min(c.ask(i, "glue", INDEXES)[1]["coverage"]
                       for i in range(6))
        time.sleep(1)
        report(f"{domain} taken out: {requests_started(c, domain) - before} "
               "new requests there during 6 questions, least coverage "
               f"{coverage:.4f}")

        codes = [c.stop_node(i) for i in range(6)]
        report(f"all nodes stopped gracefully, exit codes {codes}")
        return any(codes) or stats["max_runs"] != 1


def requests_started(cluster, domain):
    return sum(t["started"] for t in cluster.stats()["targets"]
               if t["domain"] == domain)


sys.exit(1 if main() else 0)
