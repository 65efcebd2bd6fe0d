"""Random failures of real processes, checked against what targets ran.

    python3 tests/chaos.py [SEED [SECONDS]]

Callers send questions, and send entries with one ticket to several nodes,
while nodes are killed, paused and stopped, targets restart, failure domains
are taken out and put back in, and the platform is down. Not part of CI, since
the results depend on the timing of the machine.
"""

import collections
import json
import os
import random
import signal
import sys
import threading
import time

os.environ.setdefault("BUILD", "build")

from process import start_load, load_result  # noqa: E402
from cluster import Cluster  # noqa: E402

NODES, ENTRY_CALLERS, RATE = 4, 4, 60
STOP_TIMEOUT_S = 45


class EntryCallers:
    """Threads that send entries; outcomes by request id."""

    def __init__(self, cluster, seed):
        self.cluster, self.stopping, self.outcomes = cluster, False, {}
        self.threads = [threading.Thread(target=self.run, args=(seed, k))
                        for k in range(ENTRY_CALLERS)]
        for thread in self.threads:
            thread.start()

    def run(self, seed, k):
        rng, count = random.Random(seed * 100 + k), 0
        while not self.stopping:
            count += 1
            self.enter_one(rng, f"c{k}-{count}")

    def enter_one(self, rng, request_id):
        try:
            ticket = self.cluster.ticket(rng.randrange(NODES), request_id)
        except OSError:
            return
        if "ticket" not in ticket:
            time.sleep(0.05)
            return
        key, reported = rng.randrange(400), []
        self.outcomes[request_id] = reported
        for _ in range(rng.choice((1, 1, 2, 3))):
            try:
                answer = self.cluster.enter(rng.randrange(NODES), request_id,
                                            ticket["ticket"], key=key)[1]
                reported.append(answer["outcome"])
            except (OSError, ValueError):
                reported.append("broken")

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join()


def kill_node(c, rng, i):
    c.kill_node(i)
    time.sleep(rng.random())
    c.start_node(i)


def stop_node(c, rng, i):
    c.stop_node(i, STOP_TIMEOUT_S)
    c.start_node(i)


def pause_node(c, rng, i):
    c.signal(f"node{i}", signal.SIGSTOP)
    time.sleep(rng.random() * 2)
    c.signal(f"node{i}", signal.SIGCONT)


def restart_target(c, rng, i):
    c.set_targets(f"orders-{i}", restart=1)


def domain_out(c, rng, i):
    c.publish_fleet(lambda f: f["domains"][i % 2].update(state="out"))


def domains_in(c, rng=None, i=None):
    c.publish_fleet(lambda f: [d.update(state="in") for d in f["domains"]])


def platform_down(c, rng, i):
    c.set_platform(down=1)
    time.sleep(rng.random() * 2)
    c.set_platform(down=0)


FAULTS = [kill_node, stop_node, pause_node, restart_target, domain_out,
          domains_in, domains_in, platform_down]


def check_outcomes(outcomes, stats, summary):
    """Compare the outcomes reported to callers with what the targets ran."""
    reported = list(outcomes.values())
    done = sum("done" in t for t in reported)
    possible = sum(bool({"done", "unknown", "broken"} & set(t))
                   for t in reported)
    faults = []
    if stats["max_runs"] > 1:
        faults.append("an entry ran more than once")
    if not done <= stats["entries"] <= possible:
        faults.append("the number of entries run does not match the outcomes")
    if any("done" in t and "not_run" in t for t in reported):
        faults.append("one ticket was reported both done and not run")
    if summary["wrong"]:
        faults.append("an answer was wrong")
    print(json.dumps({
        "entries_told": collections.Counter(o for t in reported for o in t),
        "entries_run": stats["entries"], "max_runs": stats["max_runs"],
        "done": done, "possible": possible, "wrong": summary["wrong"],
        "answered": summary["answered"], "sent": summary["sent"],
        "cold_falls": sum(t["overruns"] for t in stats["targets"]),
        "faults": faults}))
    return faults


def main():
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    seconds = int(sys.argv[2]) if len(sys.argv) > 2 else 30
    rng = random.Random(seed)
    with Cluster(base=18000 + 1000 * (seed % 2), nodes=NODES,
                 targets=["cold_us=500000"]) as c:
        entry_callers = EntryCallers(c, seed)
        load = start_load(c, seconds, RATE)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            rng.choice(FAULTS)(c, rng, rng.randrange(NODES))
            time.sleep(rng.random() / 2)
        entry_callers.stop()
        summary = load_result(load)
        domains_in(c)
        for i in range(NODES):
            c.wait_live(i)
        return check_outcomes(entry_callers.outcomes, c.stats(), summary)


sys.exit(1 if main() else 0)
