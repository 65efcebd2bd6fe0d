"""Process tests: real nodes, killed, cut, frozen and stopped.

Verdicts rest on what callers were told and on the targets' own books, and
wait on conditions, never on speed.
"""

import json
import os
import signal
import socket
import subprocess
import threading
import time

from world import BUILD, SMALL, World, http, wait_for


def load(world, seconds, rate=60, nodes=None):
    """Start callers that ask at a set rate; returns the process."""
    addrs = ",".join(n["callers"] for n in nodes or world.nodes)
    return subprocess.Popen(
        [f"{BUILD}/bench/load", addrs, str(rate), str(seconds), "mill-7",
         ",".join(world.site["indexes"])], stdout=subprocess.PIPE)


def result(proc):
    return json.loads(proc.communicate()[0])


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def started(world, domain=None):
    return sum(t["started"] for t in world.book()["targets"]
               if domain in (None, t["domain"]))


def test_snapshot_rolls_under_load(base):
    """Callers ask while snapshots 2 and 3 are published and a repartition
    doubles the shards. Each answer is of one snapshot, whole, and reports the
    coverage that its rows have; the callers' program checks every row."""
    with World(base=base) as w:
        callers = load(w, 6)
        for version in (2, 3):
            time.sleep(1)

            def roll(fleet, v=version):
                newest = json.loads(json.dumps(fleet["snapshots"][0]))
                newest["version"] = v
                if v == 3:
                    newest["shards"] = [
                        dict(s, id=s["id"] * 10 + half,
                             **{"from": s["from"] + 50 * half,
                                "to": s["to"] - 50 * (1 - half)})
                        for s in newest["shards"] for half in (0, 1)]
                fleet["snapshots"].insert(0, newest)
            w.publish_fleet(roll)
        got = result(callers)
        check(got["wrong"] == 0 and got["broken"] == 0, got)
        wait_for(lambda: w.ask()[1]["snapshot"] == 3, "snapshot 3 is used")


def test_true_coverage(base):
    """One target is dead, one sends broken bodies, one the wrong snapshot.
    What has no good replica is named as missing and not counted."""
    with World(base=base) as w:
        for target, knob in (("orders-0", {"dead": 1}),
                             ("orders-1", {"truncate": 1})):
            w.set_targets(target, **knob)
        status, answer = w.ask()
        check(status == 200, answer)
        check(answer["coverage"] == 0.75, answer)
        check([m["shard"] for m in answer["missing"]] == [1], answer)
        w.set_targets("orders-2", wrong_version=1)
        answer = w.ask()[1]
        check(answer["coverage"] == 0.5, answer)
        w.set_targets("all", dead=1)
        status, answer = w.ask()
        check(status == 504 and answer["coverage"] == 0, answer)


def test_cold_start_under_load(base):
    """Every target restarts under load without a word, and reports that it is
    idle; each new connection costs 6 ms. By its own books none gets two
    requests while it bears one."""
    with World(base=base, targets=["lie_idle=1", "connect_us=6000"]) as w:
        callers = load(w, 8)
        time.sleep(3)
        for target in w.book()["targets"]:
            w.set_targets(target["target"], restart=1)
            time.sleep(0.3)
        got = result(callers)
        check(got["wrong"] == 0, got)
        book = w.book()["targets"]
        check(all(t["overruns"] == 0 for t in book), book)


def test_domain_out_platform_down(base):
    """Operators take a domain out under load, and the platform goes down as
    soon as it is in force on one node. The others learn of it from that one;
    the targets' books show no new work there."""
    with World(base=base) as w:
        callers = load(w, 8)
        time.sleep(1)
        w.publish_fleet(lambda f: f["domains"][1].update(state="out"))
        wait_for(lambda: any(w.status(n)["fleet"]["version"] == 2
                             for n in w.nodes), "in force on one")
        w.set_platform(down=1)
        for node in w.nodes:
            wait_for(lambda n=node: w.status(n)["fleet"]["version"] == 2,
                     "in force")
        before = started(w, "south")
        time.sleep(1)
        check(started(w, "south") == before, "new work in the domain")
        check(started(w, "north") > 0, "no work at all")
        got = result(callers)
        check(got["broken"] == 0 and got["wrong"] == 0, got)


def test_frozen_node_wakes_with_old_view(base):
    """A node is frozen (SIGSTOP) while a domain is taken out, with requests in
    its sockets. It wakes, confirms its view, and sends nothing there."""
    with World(base=base) as w:
        callers = load(w, 3)
        w.signal("node1", signal.SIGSTOP)
        time.sleep(1)
        w.publish_fleet(lambda f: f["domains"][1].update(state="out"))
        for node in (w.nodes[0], w.nodes[2]):
            wait_for(lambda n=node: w.status(n)["fleet"]["version"] == 2,
                     "in force")
        time.sleep(1)
        before = started(w, "south")
        w.signal("node1", signal.SIGCONT)
        wait_for(lambda: w.status(w.nodes[1])["fleet"]["version"] == 2,
                 "in force on the one that woke")
        result(callers)
        check(started(w, "south") == before, "new work by an old view")
        check(w.counters(w.nodes[1])["pauses"] >= 1, "pause not noticed")


def test_entry_one_ticket_many_nodes(base):
    """One ticket is sent to all nodes at once, and again: one run, and every
    caller is told "done". Without a ticket nothing runs at all."""
    with World(base=base) as w:
        status, answer = w.enter(0, "o0")
        check(status == 409 and answer["outcome"] == "not_run", answer)
        check(answer["kind"] == "ticket_required", answer)
        ticket = w.ticket(0, "o1")["ticket"]
        answers = []
        threads = [threading.Thread(target=lambda i=i: answers.append(
            w.enter(i, "o1", ticket))) for i in (0, 1, 2, 1, 2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        check(all(a[1]["outcome"] == "done" for a in answers), answers)
        book = w.book()
        check((book["entries"], book["max_runs"]) == (1, 1), book)
        status, answer = w.enter(1, "o1", ticket, key=1,
                                 entry={"order": "other"})
        check(answer["kind"] == "ticket_mismatch", answer)


def test_entry_issuer_killed_and_replaced(base):
    """The issuer runs an entry and is killed; a new process takes its address.
    The repeat is "unknown" at every node and does not run again."""
    with World(base=base) as w:
        ticket = w.ticket(0, "o1")["ticket"]
        check(w.enter(1, "o1", ticket)[1]["outcome"] == "done", "first")
        w.kill_node(0)
        check(w.enter(1, "o1", ticket)[1]["outcome"] == "unknown", "killed")
        w.start_node(0, wait=True)
        for i in range(3):
            answer = w.enter(i, "o1", ticket)[1]
            check(answer["outcome"] == "unknown", answer)
        check(w.book()["max_runs"] == 1, w.book())


def test_entry_target_closes_without_reply(base):
    """The target reads the entry, runs it and closes a kept connection. The
    HTTP library would send it again; the book shows one run, and the caller
    is told "unknown", also when asking what became of it."""
    with World(base=base) as w:
        w.ask()  # connections are kept now
        w.set_targets("all", close=1)
        ticket = w.ticket(0, "o1")["ticket"]
        answer = w.enter(0, "o1", ticket)[1]
        check(answer["outcome"] == "unknown", answer)
        check(w.lookup(1, "o1", ticket)[1]["outcome"] == "unknown", "lookup")
        check(w.book()["max_runs"] == 1, w.book())


def test_entry_not_run_is_true(base):
    """Targets shed; the entry is "not run", with when to come back, and stays
    so when they take work again. Then nobody listens there: "not run" too."""
    with World(base=base) as w:
        w.set_targets("all", shed=1)
        ticket = w.ticket(0, "o1")["ticket"]
        status, answer = w.enter(0, "o1", ticket)
        check(status == 503 and answer["outcome"] == "not_run", answer)
        check(answer["retry_after_ms"] > 0, answer)
        w.set_targets("all", shed=0)
        again = w.enter(1, "o1", ticket)[1]
        check(again["outcome"] == "not_run", again)
        check(w.book()["entries"] == 0, w.book())
        w.procs["targets"].kill()
        w.procs["targets"].wait()
        answer = w.enter(2, "o2", w.ticket(0, "o2")["ticket"])[1]
        check(answer["outcome"] == "not_run", answer)


def test_entry_gate_frozen(base):
    """Every other node is frozen while an entry waits for them. The caller is
    answered; when they wake, no entry that was called "not run" runs."""
    with World(base=base) as w:
        outcomes = {}
        tickets = {f"o{i}": w.ticket(0, f"o{i}")["ticket"] for i in range(8)}
        for name in ("node1", "node2"):
            w.signal(name, signal.SIGSTOP)
        threads = [threading.Thread(
            target=lambda r=r, k=k: outcomes.update({r: w.enter(
                0, r, tickets[r], key=k * 50)[1]["outcome"]}))
            for k, r in enumerate(tickets)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for name in ("node1", "node2"):
            w.signal(name, signal.SIGCONT)
        w.settle()
        time.sleep(1)
        book = w.book()
        done = sum(o == "done" for o in outcomes.values())
        unknown = sum(o == "unknown" for o in outcomes.values())
        check(book["max_runs"] <= 1, book)
        check(done <= book["entries"] <= done + unknown, (outcomes, book))


def test_target_leaves_without_notice(base):
    """A target drains though the VM list says live. Its own word ends new work
    there, and its shards are answered by the others."""
    with World(base=base) as w:
        callers = load(w, 4)
        time.sleep(1)
        w.set_targets("orders-0", draining=1)
        time.sleep(0.5)
        before = w.leaf_book("orders-0")["started"]
        got = result(callers)
        check(w.leaf_book("orders-0")["started"] == before, "new work")
        check(got["coverage_min"] == 1 and got["wrong"] == 0, got)


def test_rolling_stop_under_load(base):
    """All nodes are stopped in turn, each with a second signal, under load
    that comes for a while longer. No caller sees a cut or refused request, and
    each node ends with exit code 0."""
    with World(base=base, nodes=4) as w:
        w.set_targets("all", service_us=10000)
        for i in range(3):
            rest = [n for k, n in enumerate(w.nodes) if k != i]
            to_all = load(w, 1.5, 30)
            to_rest = load(w, 4, 30, rest)
            time.sleep(0.5)
            w.signal(f"node{i}", signal.SIGTERM)
            time.sleep(0.2)
            w.signal(f"node{i}", signal.SIGTERM)
            for callers in (to_all, to_rest):
                got = result(callers)
                check(got["broken"] == 0 and not got["refused"], got)
                check(got["wrong"] == 0, got)
                check(got["answered"] == got["sent"], got)
            check(w.procs[f"node{i}"].wait(60) == 0, "exit code")
            w.start_node(i, wait=True)
            w.settle()


def test_killed_node_under_load(base):
    """A node is killed. Its callers see their connections break; everybody
    else gets whole answers, since another node takes the targets over."""
    with World(base=base) as w:
        callers = load(w, 5, nodes=w.nodes[1:])
        time.sleep(1)
        w.kill_node(0)
        got = result(callers)
        check(got["broken"] == 0 and got["wrong"] == 0, got)
        check(got["answered"] == got["sent"], got)


def test_new_node_beside_stale_platform(base):
    """Version 2 is in force; the platform then serves version 1 to a node that
    has just started. The node asks its peers and never has 1 in force."""
    with World(base=base) as w:
        w.lists["version"] = 2
        w.publish("lists", w.lists)
        for node in w.nodes:
            wait_for(lambda n=node: w.status(n)["lists"]["version"] == 2,
                     "in force")
        w.set_platform(stale=1)
        w.kill_node(0)
        w.start_node(0, wait=True)
        check(w.status(w.nodes[0])["lists"]["version"] == 2, "went back")
        taken = [(a["from"], a["to"]) for a in w.audit(w.nodes[0])
                 if a["what"] == "lists" and a["from"] != a["to"]]
        check(taken == [("0", "2")], taken)


def test_refused_list_and_large_document(base):
    """A list that is refused leaves the last one in force and is in the audit
    trail with place and remedy; the next good one, of nearly a megabyte, is in
    force on all."""
    with World(base=base) as w:
        bad = json.loads(json.dumps(w.lists))
        bad["version"], bad["plans"][0]["plan"] = 2, "none"
        w.publish("lists", bad)
        for node in w.nodes:
            wait_for(lambda n=node: any("plans[0]" in a["why"]
                                        for a in w.audit(n)), "audited")
            check(w.status(node)["lists"]["version"] == 1, "in force")
        w.lists["version"] = 3
        w.lists["plans"] += [
            {"customer": f"customer-{i}", "plan": "standard"}
            for i in range(18000)]
        check(900000 < len(json.dumps(w.lists)) < 1048576, "size")
        w.publish("lists", w.lists)
        for node in w.nodes:
            wait_for(lambda n=node: w.status(n)["lists"]["version"] == 3,
                     "in force")
        check(w.ask(customer="customer-17999")[0] == 200, "new customer")


def test_platform_down_and_back(base):
    """The platform is down: service goes on. A node that starts meanwhile
    learns all from a peer that its settings name."""
    with World(base=base) as w:
        w.set_platform(down=1)
        time.sleep(4)
        check(w.ask(1)[1]["complete"], "platform down")
        w.kill_node(0)
        w.start_node(0, wait=True, peers=[w.nodes[1]["peer"]])
        check(w.ask(0)[1]["complete"], "new node")
        w.set_platform(down=0)
        w.publish_fleet(lambda f: None)
        for node in w.nodes:
            wait_for(lambda n=node: w.status(n)["fleet"]["version"] == 2,
                     "in force")


def test_hostile_input(base):
    """Garbage, huge and cut frames on the port between nodes; huge, cut and
    wrong bodies on the callers' port. Each costs its own connection, is
    counted, and disturbs nobody."""
    with World(base=base) as w:
        node = w.nodes[0]
        ip, port = node["peer"].split(":")
        for data in (b"\xff" * 64, b"\x00\x00\x00\x05hello",
                     b"\x00\x00\x00\x40half", os.urandom(4096)):
            with socket.create_connection((ip, int(port))) as s:
                s.sendall(data)
        wait_for(lambda: w.counters(node)["bad_frames"] >= 2, "counted")
        cases = [(b"{", 400, "bad_request"), (b"[]", 400, "bad_request"),
                 (b"x" * 100000, 413, "too_large")]
        for body, status, kind in cases:
            got = http(node["callers"], "/v1/questions", body)
            check(got[0] == status and got[1]["kind"] == kind, got)
        check(http(node["callers"], "/nowhere")[0] == 404, "path")
        ip, port = node["callers"].split(":")
        with socket.create_connection((ip, int(port))) as s:
            s.sendall(b"POST /v1/questions HTTP/1.1\r\nContent-Length: 99\r\n"
                      b"\r\n{")
        check(w.ask(0)[1]["complete"], "still serving")
        check(w.ask(0, customer="nobody")[1]["kind"] == "unknown_customer",
              "customer")
        check(w.ask(0, indexes=["secret"])[1]["kind"] == "not_allowed",
              "index")


def test_large_replies(base):
    """Targets answer with large rows, then with more than a reply may have.
    The first are merged, the second count as malformed and are not covered."""
    with World(base=base) as w:
        w.set_targets("all", padding=100000)
        status, answer = w.ask()
        check(status == 200 and answer["complete"], answer["missing"])
        w.set_targets("orders-0", padding=300000)
        w.set_targets("orders-1", padding=300000)
        answer = w.ask()[1]
        check([m["kind"] for m in answer["missing"]] == ["malformed"],
              answer["missing"])


def test_caller_goes_away(base):
    """A caller closes while its question waits on slow targets. The leaf work
    is cancelled at the targets, by their books."""
    with World(base=base) as w:
        w.set_targets("all", service_us=1000000)
        ip, port = w.nodes[0]["callers"].split(":")
        body = json.dumps({"customer": "mill-7", "request_id": "r",
                           "indexes": list(SMALL["indexes"])}).encode()
        with socket.create_connection((ip, int(port))) as s:
            s.sendall(b"POST /v1/questions HTTP/1.1\r\nHost: x\r\n"
                      b"Content-Length: %d\r\n\r\n" % len(body) + body)
            wait_for(lambda: started(w) > 0, "work began")
        wait_for(lambda: sum(t["cancels"] for t in w.book()["targets"]) > 0,
                 "cancelled")
        wait_for(lambda: w.status(w.nodes[0])["questions_open"] == 0, "freed")


def test_over_plan(base):
    """Ten a second over all nodes together: the rest is refused at once, typed
    and with when to come back."""
    with World(base=base, limits={"rate": 10, "burst": 10}) as w:
        got = [w.ask(i % 3) for i in range(60)]
        refused = [a for s, a in got if s == 429]
        check(refused and all(a["kind"] == "over_plan" and
                              a["retry_after_ms"] > 0 for a in refused), got)
        check(sum(s == 200 for s, _ in got) <= 40, "let in too many")


def test_command_line(base):
    """Every command on a live node, and check on good and bad files: exit
    codes, tables, and errors that name the place and the remedy."""
    with World(base=base) as w:
        def run(*argv):
            done = subprocess.run([f"{BUILD}/wasabimoor", *argv],
                                  capture_output=True, text=True, check=False)
            return done.returncode, done.stdout + done.stderr
        node = w.nodes[0]
        for command in ("status", "audit", "counters"):
            for more in ((), ("--json",)):
                code, out = run(command, "-a", node["operators"], *more)
                check(code == 0 and out, (command, out))
        code, out = run("ask", "-a", node["callers"], "-c", "mill-7", "-i",
                        "orders", "-t", "x")
        check(code == 0 and "coverage" in out, out)
        code, out = run("ask", "-a", node["callers"], "-c", "x", "-i", "y")
        check(code == 3 and "unknown_customer" in out, out)
        good = ["check", "-s", w.path("node0.json"), "-l",
                w.path("lists.json"), "-f", w.path("fleet.json")]
        check(run(*good)[0] == 0, "good files")
        w.write("bad.json", {"version": 1})
        code, out = run("check", "-l", w.path("bad.json"))
        check(code == 1 and "allowances" in out and "publish" in out, out)
        for argv in (("serve",), ("nonsense",), (), ("check",)):
            check(run(*argv)[0] == 2, argv)
        check(run("ask", "--help")[0] == 0, "help")
        check(run("status", "-a", "127.0.0.1:1")[0] == 1, "nobody there")
        check(run("drain", "-a", node["operators"])[0] == 0, "drain")
        check(w.procs["node0"].wait(60) == 0, "drained")


TESTS = [value for name, value in list(globals().items())
         if name.startswith("test_")]
