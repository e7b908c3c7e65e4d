"""Scenarios with injected faults under online load.  Every caller must get the
complete response to its own request, or a refusal whose verdict is correct.
"""

import random
import time

from callers import (ANSWERED, CUT, REFUSED, WRONG, Callers, Chat,
                     ServiceCall, count, executions)
from fleet import Fleet

SILENCE_LIMIT_S = 5.0  # requests may fail this long after the first fault
LEAVE_LIMIT_S = 5.0  # new requests may reach a leaving server this long
TWO_REGIONS = {"etela": ["etela-a", "etela-b"], "pohjoinen": ["pohjoinen-a"]}


def online_fleet(fleet, engines=6, nodes=3, **limits):
    """Starts engines, a plain service and nodes, spread over the zones."""
    fleet.start_platform()
    fleet.add_operator("kit-desk")
    fleet.add_operator("batch-desk")
    fleet.add_operator("admin", ["admin-read", "admin-trial",
                                 "admin-production"])
    fleet.add_deployment("desk", model="desk-model")
    fleet.add_service("orders", [
        {"method": "GET", "prefix": "/", "idempotent": True},
        {"method": "POST", "prefix": "/", "idempotent": False}])
    for i in range(engines):
        fleet.add_server(f"engine-{i + 1}", fleet.zones[i % len(fleet.zones)],
                         "desk", first_token_us=20000, inter_token_us=5000)
    for i in range(2):
        fleet.add_server(f"orders-{i + 1}", fleet.zones[i % len(fleet.zones)],
                         "orders", first_token_us=5000)
    fleet.limits = {"silence_ms": 1500, "deadline_ms": 20000, **limits}
    fleet.bootstrap()
    for i in range(nodes):
        fleet.add_node(f"n{i + 1}", fleet.zones[i % len(fleet.zones)])
    fleet.start_nodes()


def servers_of(fleet, deployment):
    return [s for s in fleet.servers if s.deployment == deployment]


def nodes_in_rotation(fleet):
    """Returns the addresses that a load balancer would use now.  Whoever stops
    or starts a node sets is_out_of_rotation.
    """
    return [n.http for n in fleet.nodes
            if n.process and n.process.is_running() and
            not n.is_out_of_rotation]


def make_chat_factory(low=4, high=30):
    """Returns a function that makes chat requests of low to high tokens."""
    def make(rng, marker):
        return Chat("desk-model", marker, rng.randint(low, high),
                    rng.random() < 0.8)
    return make


def restart(fleet, node):
    """Kills a node, starts it again and waits until it is ready."""
    node.process.kill()
    node.is_out_of_rotation = True
    fleet.start_node(node)
    fleet.wait_ready([node])
    node.is_out_of_rotation = False


# ---- at-most-once ----


def at_most_once(seed, scale):
    """Calls of a plain service that are not idempotent, under faults.  No call
    may run twice, and a refusal that says "not run" must be true.
    """
    seconds = 40 if scale == "full" else 20
    with Fleet(seed, uses_proxy=True) as fleet:
        online_fleet(fleet)
        rng = random.Random(seed)
        services = servers_of(fleet, "orders")
        callers = Callers(
            fleet.key("kit-desk"), lambda: nodes_in_rotation(fleet), 24,
            lambda c, m: ServiceCall("orders", m), seed, 8).start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            server = rng.choice(services)
            fault = rng.choice(["fail", "error", "lose", "cut", "silence",
                                "proxy-lose", "kill",
                                "quiet"])  # quiet: no fault
            if fault == "fail":
                server.set(fail_rate=0.3)
            elif fault == "error":
                server.set(error_rate=0.2)
            elif fault == "lose":
                server.set(lose_answers=0.3)
            elif fault in ("cut", "silence"):
                fleet.proxy_command(f"{fault} {server.name}")
            elif fault == "proxy-lose":
                fleet.proxy_command(f"lose {server.name} 30")
            elif fault == "kill":
                restart(fleet, rng.choice(fleet.nodes))
            time.sleep(rng.uniform(0.1, 0.5))
            server.set(fail_rate=0, error_rate=0, lose_answers=0)
            fleet.proxy_command(f"lose {server.name} 0")
        outcomes = callers.stop()
        ran = executions(services)
        doubled = sum(n > 1 for n in ran.values())
        false_no = sum(o.kind == REFUSED and o.ran == "no" and
                       ran.get(o.marker, 0) > 0 for o in outcomes)
        missing = sum(o.kind == ANSWERED and ran.get(o.marker, 0) == 0
                      for o in outcomes)
        unstated = sum(o.kind == REFUSED and o.ran not in
                       ("no", "maybe", "yes") for o in outcomes)
        answered = count(outcomes, ANSWERED)
        return {
            "calls": len(outcomes), "answered": answered,
            "refused": count(outcomes, REFUSED), "cut": count(outcomes, CUT),
            "doubled": doubled, "false_not_run": false_no,
            "wrong": count(outcomes, WRONG), "unstated": unstated,
            "pass": doubled == 0 and false_no == 0 and missing == 0 and
            unstated == 0 and count(outcomes, WRONG) == 0 and
            answered > len(outcomes) / 3,
        }


# ---- silent ----


def silent(seed, scale):
    """Open connections repeatedly stop carrying traffic, on all hops.  From
    5 s after the first fault on, no online request may fail.
    """
    seconds = 35 if scale == "full" else 18
    with Fleet(seed, uses_proxy=True) as fleet:
        online_fleet(fleet, silence_ms=1000)
        rng = random.Random(seed)
        hops = [s.name for s in fleet.servers] + ["kv"] + [
            f"{n.name}-control" for n in fleet.nodes]
        callers = Callers(fleet.key("kit-desk"),
                          lambda: nodes_in_rotation(fleet), 24,
                          make_chat_factory(), seed, 15).start()
        start = time.monotonic()
        time.sleep(2)
        silenced = 0
        while time.monotonic() < start + seconds:
            for hop in rng.sample(hops, 3):
                fleet.proxy_command(f"silence {hop}")
                silenced += 1
            time.sleep(rng.uniform(0.5, 2))
        outcomes = callers.stop()
        failed = [o for o in outcomes if o.kind != ANSWERED]
        late = [o for o in failed if o.end > start + 2 + SILENCE_LIMIT_S]
        for o in failed[:5]:
            print(f"failed {o.marker} {o.kind} {o.status} {o.detail}")
        return {
            "calls": len(outcomes), "silenced": silenced,
            "failed_first_5s": len(failed) - len(late),
            "failed_after_5s": len(late), "wrong": count(outcomes, WRONG),
            "slowest_s": round(max(o.end - o.start for o in outcomes), 2),
            "pass": not late and count(outcomes, WRONG) == 0 and
            len(outcomes) > 100,
        }


# ---- drain ----


def last_arrival_s(server, leave_us):
    """Returns the seconds from leave_us to the server's last new request."""
    arrived = [e["arrived_us"] for e in server.log() if "arrived_us" in e]
    return (max(arrived, default=leave_us) - leave_us) / 1e6


def drain(seed, scale):
    """All nodes are stopped as planned and started again, one after another,
    and the platform announces that a server leaves.  No request may fail, and
    the leaving server must stop getting new ones in time.
    """
    with Fleet(seed) as fleet:
        online_fleet(fleet, nodes=4)
        callers = Callers(fleet.key("kit-desk"),
                          lambda: nodes_in_rotation(fleet), 24,
                          make_chat_factory(10, 200), seed, 30).start()
        time.sleep(2)
        codes = []
        for node in fleet.nodes:
            node.process.terminate()
            time.sleep(0.5)  # the balancer notices later that it is not ready
            node.is_out_of_rotation = True
            codes.append(node.process.wait(60))
            fleet.start_node(node)
            fleet.wait_ready([node])
            node.is_out_of_rotation = False
        leaving = servers_of(fleet, "desk")[seed % 3]
        leave_us = int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1e6)
        fleet.set_leaving(leaving)
        time.sleep(LEAVE_LIMIT_S + 3)
        outcomes = callers.stop()
        bad = [o for o in outcomes if o.kind != ANSWERED]
        for o in bad[:5]:
            print(f"bad {o.marker} {o.kind} {o.status} {o.ran} {o.detail}")
        last = last_arrival_s(leaving, leave_us)
        return {
            "calls": len(outcomes), "cut": count(outcomes, CUT),
            "refused": count(outcomes, REFUSED), "exits": codes.count(0),
            "nodes": len(codes), "last_new_work_s": round(last, 2),
            "pass": not bad and codes == [0] * len(codes) and
            last <= LEAVE_LIMIT_S and len(outcomes) > 100,
        }


SCENARIOS = {"at-most-once": at_most_once, "silent": silent, "drain": drain}
