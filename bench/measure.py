"""Measures latency, coverage and load on fake targets at full site sizes.

    python3 bench/measure.py SITE SCENARIO [ROUNDS]

Prints one JSON line for each round and appends it to out/measures.jsonl. SITE
is thiva or uusimaa; SCENARIO is a key of SCENARIOS, or "all". The environment
variable BUILD names another build directory, so that two versions can be
measured alternately.
"""

import json
import os
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests"))

from cluster import BUILD, THIVA, UUSIMAA, Cluster, wait_for  # noqa: E402

SITES = {"thiva": THIVA, "uusimaa": UUSIMAA}
NODES, RATE = 6, 30
SECONDS = float(os.environ.get("SECONDS", "8"))
SLOW_US = 30000  # long enough to overload the slots over loopback
COLD_US = 1000000


def start_load(cluster, rate, seconds, seed=1):
    addrs = ",".join(n["callers"] for n in cluster.nodes
                     if cluster.is_running(n["name"]))
    return subprocess.Popen(
        [f"{BUILD}/bench/load", addrs, str(rate), str(seconds), "mill-7",
         ",".join(cluster.site["indexes"]), str(seed)], stdout=subprocess.PIPE)


def load_result(proc):
    return json.loads(proc.communicate()[0])


def warm_up(cluster):
    """Run load until all targets are past their ramp."""
    load_result(start_load(cluster, RATE, 5))


def target_totals(cluster):
    stats = cluster.stats()["targets"]
    return {key: sum(t[key] for t in stats)
            for key in ("started", "overruns", "sheds", "wasted")}


def steady_load(cluster, rate=RATE):
    return load_result(start_load(cluster, rate, SECONDS))


def during_event(cluster, event, rate=RATE):
    """Measure under load; event(cluster) is called 1 s after the start."""
    proc = start_load(cluster, rate, SECONDS)
    time.sleep(1)
    extra = event(cluster) or {}
    got = load_result(proc)
    got.update(extra)
    return got


def restart_tenth(cluster):
    targets = cluster.stats()["targets"]
    for target in targets[::10]:
        cluster.set_targets(target["target"], restart=1)
    return {"restarted": len(targets[::10])}


def domain_out_and_back(cluster):
    domain = cluster.site["domains"][1]
    published = time.monotonic()
    cluster.publish_fleet(lambda f: f["domains"][1].update(state="out"))
    for node in cluster.nodes:
        wait_for(lambda n=node: cluster.status(n)["fleet"]["version"] == 2,
                 "in force")
    delay = time.monotonic() - published
    last = max(t["last_work_us"] for t in cluster.stats()["targets"]
               if t["domain"] == domain) / 1e6
    time.sleep(2)
    cluster.set_targets("all&domain=" + domain, restart=1)
    time.sleep(0.2)
    cluster.publish_fleet(lambda f: f["domains"][1].update(state="in"))
    return {"in_force_s": round(delay, 3),
            "last_work_s": round(max(0, last - published), 3)}


def kill_last_node(cluster):
    cluster.procs["node5"].send_signal(signal.SIGKILL)


def serve_stale(cluster):
    cluster.publish_fleet(lambda f: None)
    cluster.set_platform(stale=1)


def overload(factor):
    def run(cluster):
        slots = sum(n * s for n, s, _ in cluster.site["indexes"].values())
        target_count = sum(n for n, _, _ in cluster.site["indexes"].values())
        capacity = slots / (SLOW_US / 1e6) / target_count
        got = load_result(start_load(cluster, capacity * factor, SECONDS))
        got["full_rate"] = round(capacity, 1)
        return got
    return run


SCENARIOS = {
    # name: (options of the targets, function that runs the load)
    "steady": ([], steady_load),
    "straggler": (["straggle_pm=9", "factor=10"], steady_load),
    "cold": ([f"cold_us={COLD_US}"], lambda c: during_event(c, restart_tenth)),
    "domain": ([f"cold_us={COLD_US}"],
               lambda c: during_event(c, domain_out_and_back)),
    "gate_lost": ([], lambda c: during_event(c, kill_last_node)),
    "stale": ([], lambda c: during_event(c, serve_stale)),
    "load_0.5": ([f"service_us={SLOW_US}"], overload(0.5)),
    "load_0.8": ([f"service_us={SLOW_US}"], overload(0.8)),
    "load_1.2": ([f"service_us={SLOW_US}"], overload(1.2)),
    "load_2.0": ([f"service_us={SLOW_US}"], overload(2.0)),
}


def measure(site, name, number):
    options, run = SCENARIOS[name]
    with Cluster(SITES[site], nodes=NODES, base=15000, targets=options) as c:
        warm_up(c)
        before = target_totals(c)
        got = run(c)
        after = target_totals(c)
        counters = [c.counters(n) for n in c.nodes if c.is_running(n["name"])]
    needed = got["answered"] * len(c.fleet["targets"])
    got.update({
        "site": site, "scenario": name, "round": number,
        "label": os.environ.get("LABEL", ""),
        "target_requests_per_leaf": round(
            (after["started"] - before["started"]) / max(1, needed), 4),
        "overruns": after["overruns"] - before["overruns"],
        "sheds": after["sheds"] - before["sheds"],
        "denied": sum(node["hedges_denied"] for node in counters),
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
