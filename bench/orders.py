"""The scenario fleet-change: a new model version is rolled out while the
deployment controller is paused and engines are lost.

Eight engines, half of which check fencing numbers, load the new version with
a slow weight store.  The node that sends the orders is paused during the
rollout for longer than its lease lasts, and then continues; one engine is
killed and another one leaves.  The engines' logs show which orders they got.
"""

import http.client
import json
import signal
import threading
import time
from collections import namedtuple

from control import ADMIN_SCOPES, admin
from fleet import Fleet, request

ENGINES = 8
MIN_READY = 5
CHANGE_SHARE = 0.25
LOAD_S = 0.5  # the default load time of standin_engine
PAUSE_S = 15.0  # longer than the deployment controller's lease
LIMIT_S = 40.0  # until all remaining engines have the new version


# A request without a 200; status 0: no response before the time-out.
OnlineFault = namedtuple("OnlineFault", "node sent_s ended_s status detail")


class OnlineLoad(threading.Thread):
    """Sends a few online requests per second to the nodes in rotation."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.answered = 0
        self.faults = []
        self.is_stopping = False

    def send_request(self, node):
        body = {"model": "desk-model", "max_tokens": 4,
                "messages": [{"role": "user", "content": "hello"}]}
        status, _, response = request(
            node.http, "POST", "/v1/chat/completions", body,
            {"authorization": "Bearer " + self.fleet.key("kit-desk"),
             "content-type": "application/json"}, 10)
        return status, response[:200]

    def run(self):
        turn = 0
        while not self.is_stopping:
            nodes = [n for n in self.fleet.nodes if not n.is_out_of_rotation]
            turn += 1
            node = nodes[turn % len(nodes)]
            sent_s = time.monotonic()
            try:
                status, detail = self.send_request(node)
            except (OSError, http.client.HTTPException) as failure:
                status, detail = 0, repr(failure)
            if status == 200:
                self.answered += 1
            else:
                self.faults.append(
                    OnlineFault(node.name, sent_s, time.monotonic(), status,
                                detail))
            time.sleep(0.1)

    def split_faults(self, stopped, stopped_s):
        """Returns the faults, and apart from them the requests that were
        under way at the node `stopped` when its process was stopped: nothing
        can answer those.
        """
        frozen = [f for f in self.faults if f.node == stopped and
                  f.sent_s <= stopped_s <= f.ended_s and f.status == 0]
        return [f for f in self.faults if f not in frozen], frozen


def build(fleet):
    fleet.start_platform()
    fleet.platform_set(weights_per_s=1, weights_burst=2)
    fleet.add_operator("admin", ADMIN_SCOPES)
    fleet.add_operator("kit-desk")
    fleet.add_deployment("desk", version="1", min_ready=MIN_READY,
                         change_share=CHANGE_SHARE)
    for i in range(ENGINES):
        fleet.add_server(f"engine-{i + 1}", fleet.zones[i % 2], "desk",
                         checks_fencing=i % 2 == 0)
    fleet.bootstrap()
    for i in range(3):
        fleet.add_node(f"n{i + 1}", fleet.zones[i % 2])
    fleet.start_nodes()


def promote_version(fleet, version):
    fleet.deployments[0]["version"] = version
    node = fleet.nodes[0]
    status, trial = admin(fleet, node, "POST", "/admin/config/try",
                          fleet.document())
    assert status == 200, trial
    status, response = admin(fleet, node, "POST", "/admin/config/promote",
                             {"revision": trial["number"]})
    assert status == 200, response


def orders_of(servers):
    """Returns the order entries of the servers' logs, by time."""
    found = []
    for server in servers:
        found += [dict(line, server=server.name) for line in server.log()
                  if line.get("kind") == "order"]
    return sorted(found, key=lambda line: line["at_us"])


def controller_of(fleet):
    """Returns a node that has sent orders, by its metrics, or None."""
    for node in fleet.nodes:
        if any(name.startswith("deploy_orders_total") and count > 0
               for name, count in node.metrics().items()):
            return node
    return None


def wait_for(poll, seconds):
    """Returns the first true value of poll(), or None after the time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = poll()
        if value:
            return value
        time.sleep(0.05)
    return None


def is_settled(servers, version):
    """Whether all servers are ready with the version."""
    for server in servers:
        state = json.loads(request(server.direct, "GET", "/admin/state")[2])
        if state["version"] != version or state["state"] != "ready":
            return False
    return True


def audit(orders, killed_s):
    """Returns the number of repeated orders that were applied, of applied
    orders with an old fencing number, the fewest engines ready and the most
    changing at any time.  `killed_s` is when an engine was killed.
    """
    applied = [o for o in orders if not o["refused"]]
    per_server = {}
    for order in applied:
        per_server[order["server"]] = per_server.get(order["server"], 0) + 1
    fewest, most = ENGINES, 0
    for order in applied:
        at = order["at_us"] / 1e6
        changing = {o["server"] for o in applied
                    if at - LOAD_S < o["at_us"] / 1e6 <= at}
        lost = at >= killed_s
        # the leaving engine does not count as ready
        fewest = min(fewest, ENGINES - 1 - len(changing) - lost)
        most = max(most, len(changing))
    return (sum(n - 1 for n in per_server.values()),
            sum(o["old"] for o in applied), fewest, most)


def fleet_change(seed, scale):
    """No engine may get an order twice or apply an old one, enough engines
    must stay ready, and online requests must not fail.
    """
    with Fleet(seed) as fleet:
        build(fleet)
        lost, leaving = fleet.random.sample(fleet.servers, 2)
        remaining = [s for s in fleet.servers if s not in (lost, leaving)]
        fleet.set_leaving(leaving)
        time.sleep(4)  # the nodes read the host list every few seconds
        online = OnlineLoad(fleet)
        online.start()
        promote_version(fleet, "2")
        controller = wait_for(lambda: controller_of(fleet), 20)
        assert controller, "no orders"
        controller.is_out_of_rotation = True
        controller.process.child.send_signal(signal.SIGSTOP)
        stopped_s = time.monotonic()
        time.sleep(fleet.random.uniform(0, 2))
        orders = orders_of([lost])
        killed_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        lost.process.kill()
        time.sleep(PAUSE_S)
        controller.process.child.send_signal(signal.SIGCONT)
        settled = wait_for(lambda: is_settled(remaining, "2"),
                           LIMIT_S - PAUSE_S)
        time.sleep(2)  # a late order of the paused controller would arrive now
        controller.is_out_of_rotation = False
        online.is_stopping = True
        online.join()
        orders = sorted(orders + orders_of(remaining + [leaving]),
                        key=lambda line: line["at_us"])
        doubled, old, fewest, most = audit(orders, killed_s)
        to_leaving = sum(o["server"] == leaving.name for o in orders)
        n_controllers = len({o["order"]["fencing"] for o in orders})
        faults, frozen = online.split_faults(controller.name, stopped_s)
        if online.faults:
            print("online faults:", faults[:3], "at the stopped node:", frozen)
        return {
            "orders": len(orders), "holders": n_controllers,
            "doubled": doubled,
            "old_obeyed": old, "fewest_ready": fewest, "min_ready": MIN_READY,
            "most_changing": most, "to_leaving": to_leaving,
            "settled": bool(settled), "online": online.answered,
            "online_faults": len(faults), "frozen": len(frozen),
            "pass": bool(settled) and n_controllers >= 2 and doubled == 0 and
            old == 0 and fewest >= MIN_READY and to_leaving == 0 and
            most <= max(1, int(ENGINES * CHANGE_SHARE)) and
            not faults and len(frozen) <= 1,  # one request at a time
        }


SCENARIOS = {"fleet-change": fleet_change}
