"""Faults of a soak run, and the order in which they are injected.

Each fault ends by itself after a while; several may overlap.
"""

import asyncio
import signal
import time

# Faults by name, and bounds of the pause between the starts of two of them.
PROFILES = {
    "mixed": (("pause_target", "pause_target", "shed_requests",
               "drop_replies", "duplicate_replies", "delay_link",
               "stall_link", "stall_replies", "reset_links", "drain_target",
               "fail_store", "stall_store", "reconfigure", "kill_node",
               "stop_node", "pause_node", "reload_node"), (0.05, 0.5)),
    # Targets that never report that they leave, while readers of the store
    # are away.
    "removals": (("remove_target", "remove_target", "remove_target",
                  "drain_target", "kill_reader", "kill_reader", "kill_node",
                  "stop_node", "pause_node", "lose_history", "stall_store",
                  "reconfigure"), (0.1, 0.8)),
    "cuts": (("remove_target", "remove_target", "drain_target",
              "cut_watches", "cut_watches", "cut_watches"), (0.05, 0.6)),
    # Second copies of "not run" come while the same request is sent again.
    "copies": (("copy_rejections", "copy_rejections", "copy_rejections",
                "pause_node", "reset_links", "kill_node", "reload_node"),
               (0.3, 1.5)),
    # Targets send answers that are none.
    "broken": (("break_answers", "break_answers", "break_answers",
                "break_answers", "duplicate_replies", "reset_links",
                "pause_node", "kill_node", "stop_node", "reload_node"),
               (0.1, 0.6)),
    "restarts": (("kill_each", "stop_each", "kill_all", "kill_node",
                  "pause_node", "pause_node", "drop_many_replies",
                  "drop_many_replies", "reset_links"), (0.3, 3.0)),
}


class Faults:
    """Faults of a Fleet, which this class is a part of."""

    def random_target(self):
        return self.rng.choice(self.targets)

    async def pause_target(self):
        self.random_target().paused_until = time.monotonic() + 0.3

    async def shed_requests(self):
        target = self.random_target()
        target.shed_share = 0.7
        await asyncio.sleep(1)
        target.shed_share = 0

    async def drop_replies(self):
        target = self.random_target()
        target.drop_share = 0.5
        await asyncio.sleep(1)
        target.drop_share = 0

    async def duplicate_replies(self):
        target = self.random_target()
        target.duplicate_share = 0.5
        await asyncio.sleep(1)
        target.duplicate_share = 0

    async def break_answers(self):
        target = self.random_target()
        target.broken_share = self.rng.choice((0.1, 0.5, 1.0))
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        target.broken_share = 0

    async def copy_rejections(self):
        """Full targets reject requests, and send their replies twice."""
        targets = [t for t in self.targets if t.service == "single"]
        for target in targets:
            target.shed_share, target.copy_share = 0.8, 0.7
        await asyncio.sleep(self.rng.uniform(1, 3))
        for target in targets:
            target.shed_share, target.copy_share = 0.0, 0.0

    async def degrade_link(self, field, value):
        target = self.random_target()
        proxy = self.proxies[target.id]
        start = time.monotonic()
        setattr(proxy, field, value)
        await asyncio.sleep(0.8)
        setattr(proxy, field, type(value)())
        target.link_faults.append((start, time.monotonic()))

    async def delay_link(self):
        await self.degrade_link("delay", 0.05)

    async def stall_link(self):
        await self.degrade_link("stalled", True)

    async def stall_replies(self):
        await self.degrade_link("replies_stalled", True)

    async def reset_links(self):
        for proxy in self.rng.sample(list(self.proxies.values()), 5):
            proxy.reset()

    async def replace_target(self):
        """Start another target in its place; the one to leave, or None."""
        target = self.random_target()
        if target.leaves or self.store.down or self.store_proxy.stalled:
            return None
        target.leaves = True
        await self.add_target(target.service, target.zone)
        return target

    async def drain_target(self):
        target = await self.replace_target()
        if target:
            target.draining_since = time.monotonic()
            self.publish(target)

    async def remove_target(self):
        """It leaves without reporting that."""
        target = await self.replace_target()
        if target:
            target.removed_since = time.monotonic()
            self.store.put(f"servers/{target.id}", None)

    async def cut_watches(self):
        """The store may do so at any time; it is no fault of its own."""
        for _ in range(self.rng.randrange(1, 4)):
            self.store.cut_watches()
            await asyncio.sleep(self.rng.uniform(0.001, 0.5))

    async def lose_history(self):
        self.store.history_from = self.store.revision

    def crash_target(self, target):
        """Abort all connections of the target and restart it later."""
        proxy = self.proxies[target.id]
        target.ended.append(time.monotonic())
        proxy.refuses = True
        proxy.reset()
        asyncio.create_task(self.restart_target(target, proxy))

    async def restart_target(self, target, proxy):
        await asyncio.sleep(self.rng.uniform(0.6, 1.2))
        proxy.refuses = False
        target.born = int(time.time() * 1000)
        target.cold_left_ms = self.shape.cold_ms
        self.publish(target)

    async def fail_store(self):
        self.store.down = self.rng.choice((True, "stalled"))
        await asyncio.sleep(1.5)
        self.store.down = False
        self.store_fault_at = time.monotonic()

    async def stall_store(self):
        self.store_proxy.stalled = True
        await asyncio.sleep(1.0)
        self.store_proxy.stalled = False
        self.store_proxy.reset()
        self.store_fault_at = time.monotonic()

    async def reconfigure(self):
        if self.shard_prefix == "s" and self.rng.random() < 0.4:
            await self.add_shards("r")
            await asyncio.sleep(0.5)
            self.shard_prefix = "r"
        self.version += 1
        self.configure()

    async def kill_node(self):
        await self.kill_and_restart(self.rng.randrange(self.args.nodes), 0.5)

    async def kill_reader(self):
        """The first node of a zone reads the store for the others there."""
        await self.kill_and_restart(
            self.rng.randrange(len(self.shape.zones)),
            self.rng.uniform(0.1, 2.0))

    async def kill_and_restart(self, node, down_s):
        self.signal_node(node, signal.SIGKILL)
        await asyncio.sleep(down_s)
        self.restart_node(node)

    async def stop_node(self):
        node = self.rng.randrange(self.args.nodes)
        proc = self.procs[node]
        self.signal_node(node, signal.SIGTERM)
        if self.rng.random() < 0.3:
            self.signal_node(node, signal.SIGTERM)
        for _ in range(50):
            await asyncio.sleep(0.1)
            if proc.poll() is not None:
                break
        else:
            self.report(f"node{node} has not ended 5 s after SIGTERM")
            proc.kill()
            await asyncio.sleep(0.2)
        self.restart_node(node)

    async def pause_node(self):
        node = self.rng.randrange(self.args.nodes)
        self.signal_node(node, signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        self.signal_node(node, signal.SIGCONT)

    async def reload_node(self):
        self.signal_node(self.rng.randrange(self.args.nodes), signal.SIGHUP)

    def restart_node(self, node):
        proc = self.procs[node]
        if not self.stopping and proc.poll() is not None:
            self.start_node(node)

    async def restart_each(self, stop):
        """All nodes one after the other."""
        gap = self.rng.uniform(0.2, 1.5)
        for node in self.rng.sample(range(self.args.nodes), self.args.nodes):
            self.signal_node(node, stop)
            self.start_task(self.restart_when_ended(node))
            await asyncio.sleep(gap)

    async def kill_each(self):
        await self.restart_each(signal.SIGKILL)

    async def stop_each(self):
        await self.restart_each(signal.SIGTERM)

    async def kill_all(self):
        for node in range(self.args.nodes):
            self.signal_node(node, signal.SIGKILL)
            self.start_task(self.restart_when_ended(node))

    async def restart_when_ended(self, node):
        proc = self.procs[node]
        while proc.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.rng.uniform(0.1, 0.6))
        self.restart_node(node)

    async def drop_many_replies(self):
        """Half of the targets lose a part of their replies."""
        share = self.rng.uniform(0.1, 0.6)
        chosen = self.rng.sample(self.targets, len(self.targets) // 2)
        for target in chosen:
            target.drop_share = share
        await asyncio.sleep(self.rng.uniform(3, 8))
        for target in chosen:
            target.drop_share = 0.0

    async def lose_replies(self, until):
        """All targets lose a part of their replies, so most need a retry."""
        while time.monotonic() < until:
            for target in self.targets:
                target.drop_share = self.args.lost_share
            await asyncio.sleep(0.5)
        for target in self.targets:
            target.drop_share = 0.0

    async def inject_faults(self, until):
        names, gap = PROFILES.get(self.args.faults,
                                  (self.args.faults.split(","), (0.5, 2.0)))
        if self.args.lost_share:
            self.start_task(self.lose_replies(until))
        await self.inject(until, [getattr(self, name) for name in names], gap)

    async def inject(self, until, faults, gap):
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self.rng.choice(faults)()))
            await asyncio.sleep(self.rng.uniform(*gap))
        await asyncio.gather(*tasks)
