"""Process tests: real nodes that are killed, cut off, paused and stopped.

The checks use the replies to callers and the requests recorded by the targets.
They wait for conditions and do not depend on speed.
"""

import json
import os
import signal
import socket
import subprocess
import threading
import time

from cluster import BUILD, SMALL, Cluster, http, wait_for


def start_load(cluster, seconds, rate=60, nodes=None):
    """Start callers that send questions at a set rate; returns the process."""
    addrs = ",".join(n["callers"] for n in nodes or cluster.nodes)
    return subprocess.Popen(
        [f"{BUILD}/bench/load", addrs, str(rate), str(seconds), "mill-7",
         ",".join(cluster.site["indexes"])], stdout=subprocess.PIPE)


def load_result(proc):
    return json.loads(proc.communicate()[0])


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def requests_started(cluster, domain=None):
    return sum(t["started"] for t in cluster.stats()["targets"]
               if domain in (None, t["domain"]))


def test_snapshot_rolls_under_load(base):
    """Snapshots 2 and 3 are published under load, and a repartition doubles
    the shards. Each answer is complete, comes from one snapshot and reports
    the coverage of its rows; the load program checks every row."""
    with Cluster(base=base) as c:
        load = start_load(c, 6)
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
            c.publish_fleet(roll)
        result = load_result(load)
        check(result["wrong"] == 0 and result["broken"] == 0, result)
        wait_for(lambda: c.ask()[1]["snapshot"] == 3, "snapshot 3 is used")


def test_true_coverage(base):
    """One target is dead, one truncates its bodies, one sends the wrong
    snapshot. A shard without a good replica is listed as missing and is not
    counted in the coverage."""
    with Cluster(base=base) as c:
        for target, option in (("orders-0", {"dead": 1}),
                               ("orders-1", {"truncate": 1})):
            c.set_targets(target, **option)
        status, answer = c.ask()
        check(status == 200, answer)
        check(answer["coverage"] == 0.75, answer)
        check([m["shard"] for m in answer["missing"]] == [1], answer)
        c.set_targets("orders-2", wrong_version=1)
        answer = c.ask()[1]
        check(answer["coverage"] == 0.5, answer)
        c.set_targets("all", dead=1)
        status, answer = c.ask()
        check(status == 504 and answer["coverage"] == 0, answer)


def test_cold_start_under_load(base):
    """Every target restarts under load without notice and reports that it is
    idle; each new connection costs 6 ms. By their own counters, no target
    receives two requests while it can take only one."""
    with Cluster(base=base, targets=["lie_idle=1", "connect_us=6000"]) as c:
        load = start_load(c, 8)
        time.sleep(3)
        for target in c.stats()["targets"]:
            c.set_targets(target["target"], restart=1)
            time.sleep(0.3)
        result = load_result(load)
        check(result["wrong"] == 0, result)
        stats = c.stats()["targets"]
        check(all(t["overruns"] == 0 for t in stats), stats)


def test_domain_out_platform_down(base):
    """Operators take a domain out under load, and the platform goes down as
    soon as the change is in force on one node. The other nodes receive it from
    that node, and the targets of the domain start no new work."""
    with Cluster(base=base) as c:
        load = start_load(c, 8)
        time.sleep(1)
        c.publish_fleet(lambda f: f["domains"][1].update(state="out"))
        wait_for(lambda: any(c.status(n)["fleet"]["version"] == 2
                             for n in c.nodes), "in force on one node")
        c.set_platform(down=1)
        for node in c.nodes:
            wait_for(lambda n=node: c.status(n)["fleet"]["version"] == 2,
                     "in force")
        before = requests_started(c, "south")
        time.sleep(1)
        check(requests_started(c, "south") == before, "new work in the domain")
        check(requests_started(c, "north") > 0, "no work at all")
        result = load_result(load)
        check(result["broken"] == 0 and result["wrong"] == 0, result)


def test_frozen_node_wakes_with_old_view(base):
    """A node is paused (SIGSTOP) while a domain is taken out, with requests in
    its sockets. When it resumes it confirms its view first, and sends nothing
    to that domain."""
    with Cluster(base=base) as c:
        load = start_load(c, 3)
        c.signal("node1", signal.SIGSTOP)
        time.sleep(1)
        c.publish_fleet(lambda f: f["domains"][1].update(state="out"))
        for node in (c.nodes[0], c.nodes[2]):
            wait_for(lambda n=node: c.status(n)["fleet"]["version"] == 2,
                     "in force")
        time.sleep(1)
        before = requests_started(c, "south")
        c.signal("node1", signal.SIGCONT)
        wait_for(lambda: c.status(c.nodes[1])["fleet"]["version"] == 2,
                 "in force on the resumed node")
        load_result(load)
        check(requests_started(c, "south") == before,
              "new work based on an old view")
        check(c.counters(c.nodes[1])["pauses"] >= 1, "pause not noticed")


def test_entry_one_ticket_many_nodes(base):
    """One ticket is sent to all nodes at once and then repeated: the entry
    runs once and every caller receives "done". Without a ticket nothing runs,
    and a ticket is not valid for another entry."""
    with Cluster(base=base) as c:
        status, answer = c.enter(0, "o0")
        check(status == 409 and answer["outcome"] == "not_run", answer)
        check(answer["kind"] == "ticket_required", answer)
        ticket = c.ticket(0, "o1")["ticket"]
        answers = []
        threads = [threading.Thread(target=lambda i=i: answers.append(
            c.enter(i, "o1", ticket))) for i in (0, 1, 2, 1, 2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        check(all(a[1]["outcome"] == "done" for a in answers), answers)
        stats = c.stats()
        check((stats["entries"], stats["max_runs"]) == (1, 1), stats)
        status, answer = c.enter(1, "o1", ticket, key=1,
                                 entry={"order": "other"})
        check(answer["kind"] == "ticket_mismatch", answer)


def test_entry_issuer_killed_and_replaced(base):
    """The node that issued the ticket is killed after the entry ran, and a new
    process takes its address. A repeat is "unknown" at every node and does not
    run again."""
    with Cluster(base=base) as c:
        ticket = c.ticket(0, "o1")["ticket"]
        check(c.enter(1, "o1", ticket)[1]["outcome"] == "done", "first")
        c.kill_node(0)
        check(c.enter(1, "o1", ticket)[1]["outcome"] == "unknown", "killed")
        c.start_node(0, wait=True)
        for i in range(3):
            answer = c.enter(i, "o1", ticket)[1]
            check(answer["outcome"] == "unknown", answer)
        check(c.stats()["max_runs"] == 1, c.stats())


def test_entry_target_closes_without_reply(base):
    """The target reads the entry, runs it and closes a kept-alive connection
    without a reply. The HTTP library would send the entry again; it must run
    once, and both the caller and a lookup receive "unknown"."""
    with Cluster(base=base) as c:
        c.ask()  # opens the connections that are kept alive
        c.set_targets("all", close=1)
        ticket = c.ticket(0, "o1")["ticket"]
        answer = c.enter(0, "o1", ticket)[1]
        check(answer["outcome"] == "unknown", answer)
        check(c.lookup(1, "o1", ticket)[1]["outcome"] == "unknown", "lookup")
        check(c.stats()["max_runs"] == 1, c.stats())


def test_entry_not_run_is_true(base):
    """Targets shed load: the entry is "not run" with a time to retry, and
    stays "not run" for this ticket when targets accept work again. With no
    target listening, an entry is "not run" as well."""
    with Cluster(base=base) as c:
        c.set_targets("all", shed=1)
        ticket = c.ticket(0, "o1")["ticket"]
        status, answer = c.enter(0, "o1", ticket)
        check(status == 503 and answer["outcome"] == "not_run", answer)
        check(answer["retry_after_ms"] > 0, answer)
        c.set_targets("all", shed=0)
        again = c.enter(1, "o1", ticket)[1]
        check(again["outcome"] == "not_run", again)
        check(c.stats()["entries"] == 0, c.stats())
        c.procs["targets"].kill()
        c.procs["targets"].wait()
        answer = c.enter(2, "o2", c.ticket(0, "o2")["ticket"])[1]
        check(answer["outcome"] == "not_run", answer)


def test_entry_gate_frozen(base):
    """All other nodes are paused while entries wait for them. The callers
    still receive an outcome, and no entry reported as "not run" runs when the
    nodes resume."""
    with Cluster(base=base) as c:
        outcomes = {}
        tickets = {f"o{i}": c.ticket(0, f"o{i}")["ticket"] for i in range(8)}
        for name in ("node1", "node2"):
            c.signal(name, signal.SIGSTOP)
        threads = [threading.Thread(
            target=lambda r=r, k=k: outcomes.update({r: c.enter(
                0, r, tickets[r], key=k * 50)[1]["outcome"]}))
            for k, r in enumerate(tickets)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for name in ("node1", "node2"):
            c.signal(name, signal.SIGCONT)
        c.wait_for_members()
        time.sleep(1)
        stats = c.stats()
        done = sum(o == "done" for o in outcomes.values())
        unknown = sum(o == "unknown" for o in outcomes.values())
        check(stats["max_runs"] <= 1, stats)
        check(done <= stats["entries"] <= done + unknown, (outcomes, stats))


def test_target_leaves_without_notice(base):
    """A target reports that it drains while the fleet document lists it as
    live. Its own report stops new work there, and the other replicas answer
    its shards."""
    with Cluster(base=base) as c:
        load = start_load(c, 4)
        time.sleep(1)
        c.set_targets("orders-0", draining=1)
        time.sleep(0.5)
        before = c.target_stats("orders-0")["started"]
        result = load_result(load)
        check(c.target_stats("orders-0")["started"] == before, "new work")
        check(result["coverage_min"] == 1 and result["wrong"] == 0, result)


def test_rolling_stop_under_load(base):
    """Three of four nodes are stopped in turn, each with a second signal, and
    receive load for a while after the first one. No request is cut or refused,
    and each node ends with exit code 0."""
    with Cluster(base=base, nodes=4) as c:
        c.set_targets("all", service_us=10000)
        for i in range(3):
            rest = [n for k, n in enumerate(c.nodes) if k != i]
            to_all = start_load(c, 1.5, 30)
            to_rest = start_load(c, 4, 30, rest)
            time.sleep(0.5)
            c.signal(f"node{i}", signal.SIGTERM)
            time.sleep(0.2)
            c.signal(f"node{i}", signal.SIGTERM)
            for load in (to_all, to_rest):
                result = load_result(load)
                check(result["broken"] == 0 and not result["refused"], result)
                check(result["wrong"] == 0, result)
                check(result["answered"] == result["sent"], result)
            check(c.procs[f"node{i}"].wait(60) == 0, "exit code")
            c.start_node(i, wait=True)
            c.wait_for_members()


def test_killed_node_under_load(base):
    """A node is killed. Its callers lose their connections; callers of the
    other nodes receive complete answers, since another node takes over its
    targets."""
    with Cluster(base=base) as c:
        load = start_load(c, 5, nodes=c.nodes[1:])
        time.sleep(1)
        c.kill_node(0)
        result = load_result(load)
        check(result["broken"] == 0 and result["wrong"] == 0, result)
        check(result["answered"] == result["sent"], result)


def test_new_node_beside_stale_platform(base):
    """Version 2 is in force when the platform serves version 1 to a node that
    has just started. The node requests the document from its peers, and
    version 1 is never in force."""
    with Cluster(base=base) as c:
        c.lists["version"] = 2
        c.publish("lists", c.lists)
        for node in c.nodes:
            wait_for(lambda n=node: c.status(n)["lists"]["version"] == 2,
                     "in force")
        c.set_platform(stale=1)
        c.kill_node(0)
        c.start_node(0, wait=True)
        check(c.status(c.nodes[0])["lists"]["version"] == 2,
              "version went back")
        taken = [(a["from"], a["to"]) for a in c.audit(c.nodes[0])
                 if a["what"] == "lists" and a["from"] != a["to"]]
        check(taken == [("0", "2")], taken)


def test_refused_list_and_large_document(base):
    """A refused list leaves the previous one in force and is recorded in the
    audit trail with the field at fault and a remedy. The next valid list, of
    nearly a megabyte, is in force on all nodes."""
    with Cluster(base=base) as c:
        bad = json.loads(json.dumps(c.lists))
        bad["version"], bad["plans"][0]["plan"] = 2, "none"
        c.publish("lists", bad)
        for node in c.nodes:
            wait_for(lambda n=node: any("plans[0]" in a["why"]
                                        for a in c.audit(n)), "audited")
            check(c.status(node)["lists"]["version"] == 1, "in force")
        c.lists["version"] = 3
        c.lists["plans"] += [
            {"customer": f"customer-{i}", "plan": "standard"}
            for i in range(18000)]
        check(900000 < len(json.dumps(c.lists)) < 1048576, "size")
        c.publish("lists", c.lists)
        for node in c.nodes:
            wait_for(lambda n=node: c.status(n)["lists"]["version"] == 3,
                     "in force")
        check(c.ask(customer="customer-17999")[0] == 200, "new customer")


def test_platform_down_and_back(base):
    """Nodes keep serving while the platform is down. A node that starts in
    that time receives all documents from a peer named in its settings."""
    with Cluster(base=base) as c:
        c.set_platform(down=1)
        time.sleep(4)
        check(c.ask(1)[1]["complete"], "platform down")
        c.kill_node(0)
        c.start_node(0, wait=True, peers=[c.nodes[1]["peer"]])
        check(c.ask(0)[1]["complete"], "new node")
        c.set_platform(down=0)
        c.publish_fleet(lambda f: None)
        for node in c.nodes:
            wait_for(lambda n=node: c.status(n)["fleet"]["version"] == 2,
                     "in force")


def test_hostile_input(base):
    """Garbage, oversized and truncated frames on the port between nodes, and
    oversized, truncated and invalid bodies on the callers' port. Each costs
    only its own connection and is counted, and the node keeps serving."""
    with Cluster(base=base) as c:
        node = c.nodes[0]
        ip, port = node["peer"].split(":")
        for data in (b"\xff" * 64, b"\x00\x00\x00\x05hello",
                     b"\x00\x00\x00\x40half", os.urandom(4096)):
            with socket.create_connection((ip, int(port))) as s:
                s.sendall(data)
        wait_for(lambda: c.counters(node)["bad_frames"] >= 2, "counted")
        cases = [(b"{", 400, "bad_request"), (b"[]", 400, "bad_request"),
                 (b"x" * 100000, 413, "too_large")]
        for body, status, kind in cases:
            reply = http(node["callers"], "/v1/questions", body)
            check(reply[0] == status and reply[1]["kind"] == kind, reply)
        check(http(node["callers"], "/nowhere")[0] == 404, "path")
        ip, port = node["callers"].split(":")
        with socket.create_connection((ip, int(port))) as s:
            s.sendall(b"POST /v1/questions HTTP/1.1\r\nContent-Length: 99\r\n"
                      b"\r\n{")
        check(c.ask(0)[1]["complete"], "still serving")
        check(c.ask(0, customer="nobody")[1]["kind"] == "unknown_customer",
              "customer")
        check(c.ask(0, indexes=["secret"])[1]["kind"] == "not_allowed",
              "index")


def test_large_replies(base):
    """Targets reply with large rows, then with more than the size limit of a
    reply. The first are merged; the second count as malformed and are missing
    from the coverage."""
    with Cluster(base=base) as c:
        c.set_targets("all", padding=100000)
        status, answer = c.ask()
        check(status == 200 and answer["complete"], answer["missing"])
        c.set_targets("orders-0", padding=300000)
        c.set_targets("orders-1", padding=300000)
        answer = c.ask()[1]
        check([m["kind"] for m in answer["missing"]] == ["malformed"],
              answer["missing"])


def test_caller_goes_away(base):
    """A caller closes its connection while its question waits for slow
    targets. The requests are cancelled at the targets, by their counters."""
    with Cluster(base=base) as c:
        c.set_targets("all", service_us=1000000)
        ip, port = c.nodes[0]["callers"].split(":")
        body = json.dumps({"customer": "mill-7", "request_id": "r",
                           "indexes": list(SMALL["indexes"])}).encode()
        with socket.create_connection((ip, int(port))) as s:
            s.sendall(b"POST /v1/questions HTTP/1.1\r\nHost: x\r\n"
                      b"Content-Length: %d\r\n\r\n" % len(body) + body)
            wait_for(lambda: requests_started(c) > 0, "work began")
        wait_for(lambda: sum(t["cancels"] for t in c.stats()["targets"]) > 0,
                 "cancelled")
        wait_for(lambda: c.status(c.nodes[0])["questions_open"] == 0, "freed")


def test_over_plan(base):
    """A plan of ten requests per second over all nodes together. Requests over
    the plan are refused at once with an error kind and a time to retry."""
    with Cluster(base=base, limits={"rate": 10, "burst": 10}) as c:
        replies = [c.ask(i % 3) for i in range(60)]
        refused = [a for s, a in replies if s == 429]
        check(refused and all(a["kind"] == "over_plan" and
                              a["retry_after_ms"] > 0 for a in refused),
              replies)
        check(sum(s == 200 for s, _ in replies) <= 40, "too many admitted")


def test_command_line(base):
    """Every command on a running node, and check on valid and invalid files:
    exit codes, output, and errors that name the field and the remedy."""
    with Cluster(base=base) as c:
        def run(*argv):
            done = subprocess.run([f"{BUILD}/wasabimoor", *argv],
                                  capture_output=True, text=True, check=False)
            return done.returncode, done.stdout + done.stderr
        node = c.nodes[0]
        for command in ("status", "audit", "counters"):
            for more in ((), ("--json",)):
                code, out = run(command, "-a", node["operators"], *more)
                check(code == 0 and out, (command, out))
        code, out = run("ask", "-a", node["callers"], "-c", "mill-7", "-i",
                        "orders", "-t", "x")
        check(code == 0 and "coverage" in out, out)
        code, out = run("ask", "-a", node["callers"], "-c", "x", "-i", "y")
        check(code == 3 and "unknown_customer" in out, out)
        good = ["check", "-s", c.path("node0.json"), "-l",
                c.path("lists.json"), "-f", c.path("fleet.json")]
        check(run(*good)[0] == 0, "good files")
        c.write("bad.json", {"version": 1})
        code, out = run("check", "-l", c.path("bad.json"))
        check(code == 1 and "allowances" in out and "publish" in out, out)
        for argv in (("serve",), ("nonsense",), (), ("check",)):
            check(run(*argv)[0] == 2, argv)
        check(run("ask", "--help")[0] == 0, "help")
        check(run("status", "-a", "127.0.0.1:1")[0] == 1, "no node there")
        check(run("drain", "-a", node["operators"])[0] == 0, "drain")
        check(c.procs["node0"].wait(60) == 0, "exit code after drain")


TESTS = [value for name, value in list(globals().items())
         if name.startswith("test_")]
