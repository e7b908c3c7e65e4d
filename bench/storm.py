"""The scenario storm: two deployments, a plain service and batch jobs under
all faults at the same time.  Afterwards the outcomes that callers saw, the
servers' logs and the configuration history are checked against each other.
"""

import random
import subprocess
import threading
import time

from callers import (ANSWERED, CUT, REFUSED, WRONG, Callers, Chat,
                     ServiceCall, count, executions)
from control import ADMIN_SCOPES, RevisionWatcher, admin, promoted_deadlines
from faults import nodes_in_rotation, servers_of
from fleet import Fleet
from jobs import Job, item, service_item
from work import counts_match, make_items, sum_audits

REGIONS = {"etela": ["etela-a", "etela-b"], "pohjoinen": ["pohjoinen-a"]}
LINK_BYTES_S = 30_000_000 // 8
STORM_S = 45  # at full scale
STOP_LIMIT_S = 45  # longer than the deadline of any request


def build(fleet):
    fleet.start_platform()
    for name in ("kit-desk", "batch-desk"):
        fleet.add_operator(name)
    fleet.add_operator("admin", ADMIN_SCOPES)
    fleet.links = [{"between": list(REGIONS), "one_way_ms": 20,
                    "bytes_per_s": LINK_BYTES_S // 2}]
    fleet.add_deployment("desk", model="desk-model")
    fleet.add_deployment("assistant", model="assistant-model")
    fleet.add_service("orders", [
        {"method": "GET", "prefix": "/", "idempotent": True},
        {"method": "POST", "prefix": "/", "idempotent": False}])
    zones = fleet.zones
    for name, size in (("desk", 14), ("assistant", 9)):
        for i in range(size):
            fleet.add_server(f"{name}-{i + 1}", zones[i * 3 // size], name,
                             first_token_us=20000, inter_token_us=5000)
    for i in range(2):
        fleet.add_server(f"orders-{i + 1}", zones[i], "orders",
                         first_token_us=5000)
    fleet.limits = {"silence_ms": 1500, "deadline_ms": 30000}
    fleet.batch = {"shard_items": 100, "lease_s": 3, "commit_ms": 500}
    fleet.link_delays(one_way_us=20000, bytes_per_s=LINK_BYTES_S)
    fleet.bootstrap()
    for i in range(7):
        fleet.add_node(f"n{i + 1}", zones[(0, 1, 2, 0, 1, 2, 0)[i]],
                       has_disk=i < 6)
    fleet.start_nodes()


class FaultInjector:
    """Injects faults that are chosen at random from the seed."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.kills = []  # killed or paused nodes: (address, time in s)
        self.stops = []  # exit codes of planned stops
        self.promoted = []  # (revision, deadline_ms, time in s)
        self.events = []
        self.threads = []

    def run_in_background(self, run, *arguments):
        thread = threading.Thread(target=run, args=arguments, daemon=True)
        thread.start()
        self.threads.append(thread)

    def restart(self, node):
        self.fleet.start_node(node)
        self.fleet.wait_ready([node], 30)
        node.is_out_of_rotation = False

    def kill(self):
        node = self.pick_node()
        if node is None:
            return
        node.is_out_of_rotation = True
        self.kills.append((node.http, time.monotonic()))
        node.process.kill()
        self.run_in_background(self.restart, node)

    def planned_stop(self):
        node = self.pick_node()
        if node is None:
            return
        node.process.terminate()
        time.sleep(0.5)
        node.is_out_of_rotation = True
        self.run_in_background(self.finish_stop, node)

    def finish_stop(self, node):
        try:
            self.stops.append(node.process.wait(STOP_LIMIT_S))
        except subprocess.TimeoutExpired:
            print(f"{node.name} did not stop within {STOP_LIMIT_S} s")
            self.stops.append(None)
            node.process.kill()
        self.restart(node)

    def pick_node(self):
        """Returns a node in rotation, or None unless at least four others are
        in rotation.
        """
        in_rotation = [n for n in self.fleet.nodes if not n.is_out_of_rotation]
        return (self.random.choice(in_rotation) if len(in_rotation) > 4
                else None)

    def pause(self):
        node = self.pick_node()
        if node is not None:
            # A load balancer's health checks take a paused node out.
            node.is_out_of_rotation = True
            self.kills.append((node.http, time.monotonic()))
            node.process.pause()
            self.run_in_background(self.unpause, node,
                                   self.random.uniform(1, 6))

    def unpause(self, node, seconds):
        time.sleep(seconds)
        node.process.resume()
        self.fleet.wait_ready([node], 30)
        node.is_out_of_rotation = False

    def silence(self):
        names = [s.name for s in self.fleet.servers] + ["kv"] + [
            f"{n.name}-control" for n in self.fleet.nodes] + [
            f"{n.name}-bulk" for n in self.fleet.nodes]
        for name in self.random.sample(names, 4):
            self.fleet.proxy_command(f"silence {name}")

    def cut(self):
        server = self.random.choice(self.fleet.servers)
        self.fleet.proxy_command(f"cut {server.name}")

    def store(self):
        fault = self.random.choice(["down_ms", "slow_ms", "lose_answers"])
        value = {"down_ms": 3000, "slow_ms": 300, "lose_answers": 0.3}[fault]
        self.fleet.platform_set(**{fault: value})
        if fault != "down_ms":
            self.run_in_background(self.restore_store)

    def restore_store(self):
        time.sleep(2)
        self.fleet.platform_set(slow_ms=0, lose_answers=0.0)

    def slow(self):
        for server in self.random.sample(self.fleet.servers, 3):
            server.set(slow_factor=10, slow_ms=1500)

    def leave(self):
        self.fleet.set_leaving(self.random.choice(
            servers_of(self.fleet, "desk")))

    def promote(self):
        node = next((n for n in self.fleet.nodes
                     if not n.is_out_of_rotation), None)
        deadline = 30000 + len(self.promoted) + len(self.events)
        document = self.fleet.document(
            limits={**self.fleet.limits, "deadline_ms": deadline})
        try:
            status, trial = admin(self.fleet, node, "POST",
                                  "/admin/config/try", document)
            if status != 200:
                return
            status, response = admin(self.fleet, node, "POST",
                                     "/admin/config/promote",
                                     {"revision": trial["number"]})
        except OSError:
            return
        if status == 200:
            self.promoted.append((response["number"], deadline,
                                  time.monotonic()))

    def run(self, seconds):
        """Injects faults for some seconds, then waits for restarts."""
        faults = [self.kill, self.kill, self.planned_stop, self.pause,
                  self.silence, self.silence, self.cut, self.store, self.slow,
                  self.leave, self.promote, self.promote]
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            fault = self.random.choice(faults)
            self.events.append(fault.__name__)
            fault()
            time.sleep(self.random.uniform(0.3, 1.5))
        for thread in self.threads:
            thread.join(90)
        self.fleet.platform_set(slow_ms=0, lose_answers=0.0)


def may_be_cut(outcome, kills):
    """Whether the request ran when a node was killed or paused: then it may be
    cut.
    """
    return any(outcome.start - 1 <= at <= outcome.end for _, at in kills)


def storm(seed, scale):
    """Runs the load and the faults; returns the result of audit()."""
    with Fleet(seed, REGIONS, uses_proxy=True) as fleet:
        build(fleet)
        rng = random.Random(seed)
        watcher = RevisionWatcher(fleet)
        watcher.start()

        def chat(c, m):
            return Chat(c.choice(["desk-model", "assistant-model"]), m,
                        c.randint(4, 40), c.random() < 0.8)

        targets = lambda: nodes_in_rotation(fleet)
        online = Callers(fleet.key("kit-desk"), targets, 24, chat, seed,
                         30).start()
        orders = Callers(fleet.key("kit-desk"), targets, 6,
                         lambda c, m: ServiceCall("orders", m), seed + 1,
                         10).start()
        jobs = [Job(fleet, make_items(rng, 600, f"j{i}"), f"storm-{i}")
                for i in range(2)]
        jobs.append(Job(fleet, [
            service_item(f"o-{i}", f"/services/orders/orders/item-{i}",
                         {"n": i}) for i in range(80)], "storm-orders"))
        for job in jobs:
            job.submit()
        injector = FaultInjector(fleet, seed)
        injector.run(STORM_S if scale == "full" else STORM_S // 2)
        done = all([job.wait(60) for job in jobs])
        outcomes = online.stop()
        calls = orders.stop()
        watcher.is_stopping = True
        watcher.join()
        return audit(fleet, injector, watcher, jobs, done, outcomes, calls)


def audit(fleet, injector, watcher, jobs, done, outcomes, calls):
    """Returns the figures of the scenario and whether it has passed."""
    ran = executions(servers_of(fleet, "orders"))
    doubled = sum(n > 1 for n in ran.values())
    false_no = sum(o.kind == REFUSED and o.ran == "no" and
                   ran.get(o.marker, 0) > 0 for o in calls)
    wrong = count(outcomes, WRONG) + count(calls, WRONG)
    cut = [o for o in outcomes if o.kind == CUT and
           not may_be_cut(o, injector.kills)]
    for o in cut[:5]:
        print(f"cut {o.marker} {o.status} {o.detail}")
    for o in [o for o in outcomes if o.kind == REFUSED][:5]:
        print(f"refused {o.marker} {o.status} {o.ran} {o.detail}")
    items = sum_audits(jobs)
    right = all(counts_match(j) for j in jobs)
    history = promoted_deadlines(fleet, fleet.nodes[0],
                                 [n for n, _, _ in injector.promoted])
    lost_updates = sum(history.get(n) != d for n, d, _ in injector.promoted)
    answered = count(outcomes, ANSWERED)
    print("events:", " ".join(injector.events))
    return {
        "online": len(outcomes), "answered": answered,
        "refused": count(outcomes, REFUSED), "cut_unexcused": len(cut),
        "wrong": wrong, "orders": len(calls), "doubled": doubled,
        "false_not_run": false_no, "jobs_done": done, **items,
        "counts_right": right, "promoted": len(injector.promoted),
        "reverts": watcher.reverts, "lost_updates": lost_updates,
        "stops": len(injector.stops), "stops_clean": injector.stops.count(0),
        "pass": wrong == 0 and not cut and doubled == 0 and false_no == 0 and
        done and not any(items.values()) and right and
        watcher.reverts == 0 and lost_updates == 0 and
        injector.stops.count(0) == len(injector.stops) and
        answered > 0.9 * len(outcomes),
    }


SCENARIOS = {"storm": storm}
