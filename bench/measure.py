"""The brief's measures on stand-ins at the sizes of Thiva and Uusimaa.

    python3 bench/measure.py SITE SCENARIO [ROUNDS]

One JSON line a round, appended to out/measures.jsonl and printed. SITE is
thiva or uusimaa; SCENARIO a key of SCENARIOS, or "all". BUILD names another
build folder, so that two versions can be measured alternately.
"""

import json
import os
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests"))

from world import BUILD, THIVA, UUSIMAA, World, wait_for  # noqa: E402

SITES = {"thiva": THIVA, "uusimaa": UUSIMAA}
NODES, RATE = 6, 30
SECONDS = float(os.environ.get("SECONDS", "8"))
SLOW_US = 30000  # service time at which loopback can overload the slots
COLD_US = 1000000


def callers(world, rate, seconds, seed=1):
    addrs = ",".join(n["callers"] for n in world.nodes
                     if world.alive(n["name"]))
    return subprocess.Popen(
        [f"{BUILD}/bench/load", addrs, str(rate), str(seconds), "mill-7",
         ",".join(world.site["indexes"]), str(seed)], stdout=subprocess.PIPE)


def result(proc):
    return json.loads(proc.communicate()[0])


def warm(world):
    """Past the ramp of all targets."""
    result(callers(world, RATE, 5))


def books(world):
    book = world.book()["targets"]
    return {key: sum(t[key] for t in book)
            for key in ("started", "overruns", "sheds", "wasted")}


def plain(world, rate=RATE):
    return result(callers(world, rate, SECONDS))


def during(world, act, rate=RATE):
    """Measure while act(world) happens a second after the start."""
    proc = callers(world, rate, SECONDS)
    time.sleep(1)
    extra = act(world) or {}
    got = result(proc)
    got.update(extra)
    return got


def go_cold(world):
    targets = world.book()["targets"]
    for target in targets[::10]:
        world.set_targets(target["target"], restart=1)
    return {"restarted": len(targets[::10])}


def domain_out_and_back(world):
    domain = world.site["domains"][1]
    published = time.monotonic()
    world.publish_fleet(lambda f: f["domains"][1].update(state="out"))
    for node in world.nodes:
        wait_for(lambda n=node: world.status(n)["fleet"]["version"] == 2,
                 "in force")
    force = time.monotonic() - published
    last = max(t["last_work_us"] for t in world.book()["targets"]
               if t["domain"] == domain) / 1e6
    time.sleep(2)
    world.set_targets("all&domain=" + domain, restart=1)
    time.sleep(0.2)
    world.publish_fleet(lambda f: f["domains"][1].update(state="in"))
    return {"in_force_s": round(force, 3),
            "last_work_s": round(max(0, last - published), 3)}


def lose_node(world):
    world.procs["node5"].send_signal(signal.SIGKILL)


def stale(world):
    world.publish_fleet(lambda f: None)
    world.set_platform(stale=1)


def overload(factor):
    def run(world):
        slots = sum(n * s for n, s, _ in world.site["indexes"].values())
        leafs = sum(n for n, _, _ in world.site["indexes"].values())
        full = slots / (SLOW_US / 1e6) / leafs
        got = result(callers(world, full * factor, SECONDS))
        got["full_rate"] = round(full, 1)
        return got
    return run


SCENARIOS = {
    # name: (knobs of the targets, run)
    "steady": ([], plain),
    "straggler": (["straggle_pm=9", "factor=10"], plain),
    "cold": ([f"cold_us={COLD_US}"], lambda w: during(w, go_cold)),
    "domain": ([f"cold_us={COLD_US}"],
               lambda w: during(w, domain_out_and_back)),
    "gate_lost": ([], lambda w: during(w, lose_node)),
    "stale": ([], lambda w: during(w, stale)),
    "load_0.5": ([f"service_us={SLOW_US}"], overload(0.5)),
    "load_0.8": ([f"service_us={SLOW_US}"], overload(0.8)),
    "load_1.2": ([f"service_us={SLOW_US}"], overload(1.2)),
    "load_2.0": ([f"service_us={SLOW_US}"], overload(2.0)),
}


def measure(site, name, number):
    knobs, run = SCENARIOS[name]
    with World(SITES[site], nodes=NODES, base=15000, targets=knobs) as w:
        warm(w)
        before = books(w)
        got = run(w)
        after = books(w)
        counters = [w.counters(n) for n in w.nodes if w.alive(n["name"])]
    needed = got["answered"] * len(w.fleet["targets"])
    got.update({
        "site": site, "scenario": name, "round": number,
        "label": os.environ.get("LABEL", ""),
        "target_requests_per_leaf": round(
            (after["started"] - before["started"]) / max(1, needed), 4),
        "overruns": after["overruns"] - before["overruns"],
        "sheds": after["sheds"] - before["sheds"],
        "denied": sum(c["hedges_denied"] for c in counters),
    })
    return got


def main():
    site, scenario = sys.argv[1:3]
    rounds = int(sys.argv[3]) if len(sys.argv) > 3 else 1
    os.makedirs("out", exist_ok=True)
    names = SCENARIOS if scenario == "all" else [scenario]
    with open("out/measures.jsonl", "a", encoding="ascii") as out:
        for number in range(rounds):
            for name in names:
                line = json.dumps(measure(site, name, number))
                print(line, flush=True)
                out.write(line + "\n")


main()
