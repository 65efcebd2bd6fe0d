"""Random failures on real processes, against the targets' books.

    python3 tests/chaos.py [SEED [SECONDS]]

Callers ask, and enter with one ticket at several nodes, while nodes are
killed, frozen and stopped, targets restart, failure domains go out and in and
the platform is down. Not part of CI: the machine's timing is part of the input.
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

from process import load, result  # noqa: E402
from world import World  # noqa: E402

NODES, CLIENTS, RATE = 4, 4, 60
STOP_SECONDS = 45


class Clients:
    """Threads that enter; outcomes by request id."""

    def __init__(self, world, seed):
        self.world, self.ended, self.outcomes = world, False, {}
        self.threads = [threading.Thread(target=self.run, args=(seed, k))
                        for k in range(CLIENTS)]
        for thread in self.threads:
            thread.start()

    def run(self, seed, k):
        dice, count = random.Random(seed * 100 + k), 0
        while not self.ended:
            count += 1
            self.enter_one(dice, f"c{k}-{count}")

    def enter_one(self, dice, request_id):
        try:
            ticket = self.world.ticket(dice.randrange(NODES), request_id)
        except OSError:
            return
        if "ticket" not in ticket:
            time.sleep(0.05)
            return
        key, told = dice.randrange(400), []
        self.outcomes[request_id] = told
        for _ in range(dice.choice((1, 1, 2, 3))):
            try:
                answer = self.world.enter(dice.randrange(NODES), request_id,
                                          ticket["ticket"], key=key)[1]
                told.append(answer["outcome"])
            except (OSError, ValueError):
                told.append("broken")

    def end(self):
        self.ended = True
        for thread in self.threads:
            thread.join()


def kill(w, dice, i):
    w.kill_node(i)
    time.sleep(dice.random())
    w.start_node(i)


def stop(w, dice, i):
    w.stop_node(i, STOP_SECONDS)
    w.start_node(i)


def freeze(w, dice, i):
    w.signal(f"node{i}", signal.SIGSTOP)
    time.sleep(dice.random() * 2)
    w.signal(f"node{i}", signal.SIGCONT)


def restart_target(w, dice, i):
    w.set_targets(f"orders-{i}", restart=1)


def domain_out(w, dice, i):
    w.publish_fleet(lambda f: f["domains"][i % 2].update(state="out"))


def domains_in(w, dice=None, i=None):
    w.publish_fleet(lambda f: [d.update(state="in") for d in f["domains"]])


def platform_down(w, dice, i):
    w.set_platform(down=1)
    time.sleep(dice.random() * 2)
    w.set_platform(down=0)


ACTS = [kill, stop, freeze, restart_target, domain_out, domains_in, domains_in,
        platform_down]


def judge(outcomes, book, got):
    """What callers were told against what the targets did."""
    told = list(outcomes.values())
    done = sum("done" in t for t in told)
    possible = sum(bool({"done", "unknown", "broken"} & set(t))
                   for t in told)
    faults = []
    if book["max_runs"] > 1:
        faults.append("an entry ran twice")
    if not done <= book["entries"] <= possible:
        faults.append("outcomes and books differ")
    if any("done" in t and "not_run" in t for t in told):
        faults.append("done and not run of one ticket")
    if got["wrong"]:
        faults.append("a wrong answer")
    print(json.dumps({
        "entries_told": collections.Counter(o for t in told for o in t),
        "entries_run": book["entries"], "max_runs": book["max_runs"],
        "done": done, "possible": possible, "wrong": got["wrong"],
        "answered": got["answered"], "sent": got["sent"],
        "cold_falls": sum(t["overruns"] for t in book["targets"]),
        "faults": faults}))
    return faults


def main():
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    seconds = int(sys.argv[2]) if len(sys.argv) > 2 else 30
    dice = random.Random(seed)
    with World(base=18000 + 1000 * (seed % 2), nodes=NODES,
               targets=["cold_us=500000"]) as w:
        clients = Clients(w, seed)
        callers = load(w, seconds, RATE)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            dice.choice(ACTS)(w, dice, dice.randrange(NODES))
            time.sleep(dice.random() / 2)
        clients.end()
        got = result(callers)
        domains_in(w)
        for i in range(NODES):
            w.wait_live(i)
        return judge(clients.outcomes, w.book(), got)


sys.exit(1 if main() else 0)
