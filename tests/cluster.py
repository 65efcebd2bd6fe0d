"""Starts a test cluster on loopback: fake platform, fake targets and nodes.

Used by the demo, the process tests and the benchmarks. Starts and ends all
processes; all addresses are on 127.0.0.1.
"""

import json
import os
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

BUILD = os.environ.get("BUILD", "build")

THIVA = {
    "domains": ["thiva-north", "thiva-south", "schimatari", "tanagra"],
    "indexes": {  # targets, slots, connections
        "roll_finder": (40, 2, 25),
        "glue_ledger": (60, 2, 25),
        "order_book": (9, 3, 110),
        "winder_status": (4, 3, 110),
    },
    "plan": {"soft_ms": 250, "deadline_ms": 1000, "coverage_floor": 0.95},
}
UUSIMAA = {
    "domains": ["a", "b", "c"],
    "indexes": {
        "station_monitoring": (40, 2, 25),
        "member_records": (60, 2, 25),
        "bulletins_archive": (11, 2, 35),
        "complaint_desk": (5, 2, 35),
    },
    "plan": {"soft_ms": 1000, "deadline_ms": 1000, "coverage_floor": 1.0},
}
# Four targets in two failure domains: enough for most failure tests.
SMALL = {
    "domains": ["north", "south"],
    "indexes": {"orders": (4, 2, 25)},
    "plan": {"soft_ms": 1500, "deadline_ms": 1500, "coverage_floor": 1.0},
}


def http(address, path, body=None, timeout=20):
    """Send one request; returns (status, parsed body or None)."""
    data = body if body is None or isinstance(body, bytes) else (
        json.dumps(body).encode())
    req = urllib.request.Request(f"http://{address}{path}", data=data)
    try:
        with urllib.request.urlopen(req, timeout=timeout) as reply:
            text = reply.read()
            return reply.status, json.loads(text) if text else None
    except urllib.error.HTTPError as err:
        text = err.read()
        return err.code, json.loads(text) if text else None


def wait_for(condition, what, seconds=30):
    """Wait for a condition; the time limit only ends a test that hangs."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            value = condition()
        except OSError:
            value = None
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"timed out waiting for: {what}")


def make_fleet(site, nodes, base_port, versions=(1,)):
    """Each target holds its own shard and one of its neighbour, which is in
    another domain."""
    domains = site["domains"]
    targets, shards = [], []
    port = base_port
    for index, (target_count, slots, connections) in site["indexes"].items():
        for i in range(target_count):
            targets.append({
                "name": f"{index}-{i}", "address": f"127.0.0.1:{port}",
                "domain": domains[i % len(domains)], "state": "live",
                "slots": slots, "connections": connections})
            port += 1
        for i in range(target_count):
            shards.append({
                "id": len(shards) + 1, "index": index,
                "from": i * 100, "to": (i + 1) * 100, "weight": 1,
                "replicas": [f"{index}-{i}",
                             f"{index}-{(i + 1) % target_count}"]})
    return {
        "version": 1,
        "domains": [{"name": d, "state": "in"} for d in domains],
        "vms": [{"address": n["peer"], "domain": n["domain"],
                 "state": "live"} for n in nodes],
        "targets": targets,
        "snapshots": [{"version": v, "shards": shards} for v in versions],
    }


def make_lists(site, version=1, **limits):
    indexes = list(site["indexes"])
    allowance = {"plan": "standard", "indexes": indexes, "entries": indexes,
                 "rate": 100000, "burst": 100000, "extra_load": 0.05}
    allowance.update(site["plan"])
    allowance.update(limits)
    return {"version": version,
            "plans": [{"customer": "mill-7", "plan": "standard"}],
            "allowances": [allowance]}


class Cluster:
    """Context manager; leaving it ends all processes and removes the files."""

    def __init__(self, site=SMALL, nodes=3, base=21000, targets=(),
                 versions=(1,), limits=None, settings=None):
        self.site, self.base = site, base
        self.dir = tempfile.mkdtemp(prefix="wasabimoor-")
        self.logs, self.procs = {}, {}
        self.platform = f"127.0.0.1:{base}"
        self.control = f"127.0.0.1:{base + 1}"
        self.settings = settings or {}
        domains = site["domains"]
        self.nodes = [{
            "name": f"node{i}",
            "peer": f"127.0.0.1:{base + 10 + 3 * i}",
            "callers": f"127.0.0.1:{base + 11 + 3 * i}",
            "operators": f"127.0.0.1:{base + 12 + 3 * i}",
            "domain": domains[i % len(domains)]} for i in range(nodes)]
        self.fleet = make_fleet(site, self.nodes, base + 100, versions)
        self.lists = make_lists(site, **(limits or {}))
        self.target_args = list(targets)

    def path(self, name):
        return os.path.join(self.dir, name)

    def write(self, name, value):
        with open(self.path(name), "w", encoding="ascii") as out:
            json.dump(value, out)
        return self.path(name)

    def spawn(self, name, *argv):
        log = open(self.path(name + ".log"), "ab")
        self.procs[name] = subprocess.Popen(argv, stdout=log, stderr=log)
        log.close()
        return self.procs[name]

    def start_platform(self):
        self.spawn("platform", f"{BUILD}/tests/fake-platform", self.platform,
                   self.write("lists.json", self.lists),
                   self.write("fleet.json", self.fleet))
        wait_for(lambda: http(self.platform, "/book"), "platform is up")

    def start_node(self, i, wait=False, **overrides):
        node = self.nodes[i]
        settings = {k: node[k] for k in
                    ("peer", "callers", "operators", "domain")}
        settings["platforms"] = [self.platform]
        settings.update(self.settings)
        settings.update(overrides)
        file = self.write(node["name"] + ".json", settings)
        self.spawn(node["name"], f"{BUILD}/wasabimoor", "serve",
                   "--settings", file)
        if wait:
            self.wait_live(i)

    def wait_live(self, i):
        wait_for(lambda: http(self.nodes[i]["callers"],
                              "/health")[0] == 200, f"node {i} is live")

    def __enter__(self):
        try:
            self.start_platform()
            self.spawn("targets", f"{BUILD}/tests/fake-targets", self.control,
                       self.path("fleet.json"), *self.target_args)
            wait_for(lambda: self.stats(), "targets are up")
            for i in range(len(self.nodes)):
                self.start_node(i)
            for i in range(len(self.nodes)):
                self.wait_live(i)
            self.wait_for_members()
        except BaseException:
            self.close()
            raise
        return self

    def wait_for_members(self):
        """Wait until every running node lists every other one as usable."""
        live = [n for n in self.nodes if self.is_running(n["name"])]
        for node in live:
            wait_for(lambda n=node: sum(
                vm["usable"] for vm in self.status(n)["vms"]) >= len(live),
                f"{node['name']} lists all other nodes")

    def is_running(self, name):
        proc = self.procs.get(name)
        return proc is not None and proc.poll() is None

    def __exit__(self, kind, value, trace):
        if kind and os.environ.get("SHOW_LOGS"):
            for name in self.procs:
                with open(self.path(name + ".log"), encoding="utf-8") as log:
                    print(f"--- {name}\n{log.read()[-6000:]}")
        self.close()

    def close(self):
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self.procs.values():
            proc.wait()
        shutil.rmtree(self.dir, ignore_errors=True)

    def signal(self, name, number):
        self.procs[name].send_signal(number)

    def stop_node(self, i, seconds=60):
        """Stop a node as planned; returns its exit code."""
        name = self.nodes[i]["name"]
        self.signal(name, signal.SIGTERM)
        return self.procs[name].wait(seconds)

    def kill_node(self, i):
        name = self.nodes[i]["name"]
        self.procs[name].kill()
        self.procs[name].wait()

    # Platform and targets.

    def publish(self, kind, doc):
        http(self.platform, f"/publish/{kind}", doc)

    def publish_fleet(self, change):
        """Apply change(fleet), increment the version and publish."""
        change(self.fleet)
        self.fleet["version"] += 1
        self.publish("fleet", self.fleet)

    def set_platform(self, **flags):
        query = "&".join(f"{k}={v}" for k, v in flags.items())
        http(self.platform, "/set?" + query)

    def set_targets(self, target="all", **options):
        query = "&".join(f"{k}={v}" for k, v in options.items())
        http(self.control, f"/set?target={target}&{query}")

    def stats(self):
        return http(self.control, "/book")[1]

    def target_stats(self, name):
        return next(t for t in self.stats()["targets"]
                    if t["target"] == name)

    def status(self, node):
        return http(node["operators"], "/status")[1]

    def counters(self, node):
        return http(node["operators"], "/counters")[1]["counters"]

    def audit(self, node):
        return http(node["operators"], "/audit")[1]

    def ask(self, i=0, terms="t", indexes=None, **overrides):
        body = {"customer": "mill-7", "request_id": "r", "terms": terms,
                "indexes": indexes or list(self.site["indexes"])}
        body.update(overrides)
        return http(self.nodes[i]["callers"], "/v1/questions", body)

    def ticket(self, i, request_id):
        return http(self.nodes[i]["callers"], "/v1/tickets",
                    {"customer": "mill-7", "request_id": request_id})[1]

    def entry_body(self, request_id, ticket=None, key=0, index=None,
                   **overrides):
        body = {"customer": "mill-7", "request_id": request_id,
                "index": index or list(self.site["indexes"])[0], "key": key,
                "entry": {"order": request_id}}
        if ticket:
            body["ticket"] = ticket
        body.update(overrides)
        return body

    def enter(self, i, request_id, ticket=None, **overrides):
        return http(self.nodes[i]["callers"], "/v1/entries",
                    self.entry_body(request_id, ticket, **overrides))

    def lookup(self, i, request_id, ticket):
        return http(self.nodes[i]["callers"], "/v1/lookups",
                    {"customer": "mill-7", "request_id": request_id,
                     "ticket": ticket})
