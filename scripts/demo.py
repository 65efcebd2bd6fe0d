"""The Thiva deployment in small: stand-ins, six nodes, one of each thing."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests"))

from world import THIVA, World, wait_for  # noqa: E402

INDEXES = ["order_book", "roll_finder"]


def say(text):
    print(text, flush=True)


def main():
    say("starting the platform, 113 targets and 6 nodes")
    with World(THIVA, nodes=6) as w:
        answer = w.ask(0, "board 3 mm", INDEXES)[1]
        say(f"question over {', '.join(INDEXES)}: {len(answer['rows'])} rows, "
            f"snapshot {answer['snapshot']}, coverage "
            f"{answer['coverage']:.4f}, {answer['elapsed_ms']:.1f} ms")

        ticket = w.ticket(1, "order-4711")["ticket"]
        for node in (2, 3):
            outcome = w.enter(node, "order-4711", ticket,
                              index="order_book", key=10)[1]["outcome"]
            say(f"order-4711 entered at node {node}: {outcome}")
        book = w.book()
        say(f"the targets' books: {book['entries']} order, run "
            f"{book['max_runs']} time")

        domain = "schimatari"
        w.publish_fleet(lambda f: f["domains"][2].update(state="out"))
        for node in w.nodes:
            wait_for(lambda n=node: w.status(n)["fleet"]["version"] == 2,
                     "the change is in force")
        before = work(w, domain)
        coverage = min(w.ask(i, "glue", INDEXES)[1]["coverage"]
                       for i in range(6))
        time.sleep(1)
        say(f"{domain} taken out: {work(w, domain) - before} new requests "
            f"there during 6 questions, least coverage {coverage:.4f}")

        codes = [w.stop_node(i) for i in range(6)]
        say(f"all nodes stopped gracefully, exit codes {codes}")
        return any(codes) or book["max_runs"] != 1


def work(world, domain):
    return sum(t["started"] for t in world.book()["targets"]
               if t["domain"] == domain)


sys.exit(1 if main() else 0)
