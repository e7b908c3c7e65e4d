"""Scenarios about configuration changes, the cost of the control plane, and a
split between regions.
"""

import json
import threading
import time

import faults
from callers import ANSWERED, Callers
from fleet import Fleet, request

IN_FORCE_LIMIT_S = 5.0  # from promotion until all nodes use the revision
# Limits per node, for a fleet of LARGE_FLEET nodes.
BYTES_LIMIT = 7000  # control traffic per second
CPU_LIMIT = 0.026  # share of a core
MEMORY_LIMIT = 64 * 1024 * 1024  # bytes
LARGE_FLEET = 390  # nodes
ADMIN_SCOPES = ["admin-read", "admin-trial", "admin-production"]


def admin(fleet, node, method, path, body=None, operator="admin", timeout=10):
    status, _, response = request(
        node.http, method, path, body,
        {"authorization": "Bearer " + fleet.key(operator),
         "content-type": "application/json"}, timeout)
    try:
        return status, json.loads(response)
    except ValueError:
        return status, {"text": response.decode(errors="replace")}


def active_revision(fleet, node):
    """Returns the configuration revision that a node uses."""
    return node.metrics().get("config_revision", 0)


def plain_fleet(fleet, nodes, zones=None, engines=2):
    """Starts nodes and engines, with an administrator and two operators."""
    fleet.start_platform()
    fleet.add_operator("admin", ADMIN_SCOPES)
    fleet.add_operator("kit-desk")
    fleet.add_operator("batch-desk")
    fleet.add_deployment("desk")
    for i in range(engines):
        fleet.add_server(f"engine-{i + 1}", fleet.zones[i % len(fleet.zones)],
                         "desk")
    fleet.bootstrap()
    for i in range(nodes):
        fleet.add_node(f"n{i + 1:02}", fleet.zones[i % len(fleet.zones)],
                       has_disk=i < 4)
    fleet.start_nodes()


class RevisionWatcher(threading.Thread):
    """Samples the configuration revision of each node, and counts how often a
    running node goes back to an earlier one.
    """

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.first_seen = {}  # (node name, revision) -> time in seconds
        self.highest = {}  # (node name, starts) -> revision
        self.reverts = 0
        self.is_stopping = False

    def sample(self):
        for node in self.fleet.nodes:
            if not node.process or not node.process.is_running():
                continue
            try:
                number = active_revision(self.fleet, node)
            except OSError:
                continue
            now = time.monotonic()
            key = (node.name, node.starts)
            if number < self.highest.get(key, 0):
                self.reverts += 1
            self.highest[key] = max(number, self.highest.get(key, 0))
            self.first_seen.setdefault((node.name, number), now)

    def run(self):
        while not self.is_stopping:
            self.sample()
            time.sleep(0.02)

    def seconds_to(self, number, accepted_at):
        """Returns the seconds from `accepted_at` until the last node used the
        revision or a later one, or infinity.
        """
        slowest = 0.0
        for node in self.fleet.nodes:
            times = [t for (name, n), t in self.first_seen.items()
                     if name == node.name and n >= number]
            if not times:
                return float("inf")
            slowest = max(slowest, min(times) - accepted_at)
        return slowest


class ConfigEditor(threading.Thread):
    """An administrator who repeatedly tries and promotes a configuration, in
    competition with others.
    """

    def __init__(self, fleet, index, until):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.index = index
        self.until = until
        self.accepted = []  # (revision, deadline_ms, time in seconds)
        self.conflicts = 0
        self.faults = []

    def edit_once(self, count):
        node = self.fleet.nodes[(self.index + count) % len(self.fleet.nodes)]
        deadline = 60000 + self.index * 1000 + count
        document = self.fleet.document(limits={"deadline_ms": deadline})
        status, trial = admin(self.fleet, node, "POST", "/admin/config/try",
                              document)
        if status == 409:
            self.conflicts += 1
            return
        if status != 200:
            self.faults.append((status, trial))
            return
        status, response = admin(self.fleet, node, "POST",
                                 "/admin/config/promote",
                                 {"revision": trial["number"]})
        if status == 200:
            self.accepted.append((response["number"], deadline,
                                  time.monotonic()))
        elif status == 409:
            self.conflicts += 1
        else:
            self.faults.append((status, response))

    def run(self):
        count = 0
        while time.monotonic() < self.until:
            count += 1
            try:
                self.edit_once(count)
            except OSError as failure:
                self.faults.append((0, str(failure)))
            time.sleep(0.3)


def promoted_deadlines(fleet, node, numbers):
    """Returns deadline_ms in the production history, by revision."""
    found = {}
    for number in numbers:
        status, record = admin(fleet, node, "GET", "/admin/config/show?"
                               f"environment=production&revision={number}")
        assert status == 200, record
        found[number] = record["document"].get("limits", {}).get("deadline_ms")
    return found


def config_race(seed, scale):
    """Four administrators promote configurations at the same time.  Every
    accepted one must be in the history and reach all nodes in time, and no
    node may go back to an earlier revision.
    """
    nodes = 16 if scale == "full" else 6
    with Fleet(seed) as fleet:
        plain_fleet(fleet, nodes)
        watcher = RevisionWatcher(fleet)
        watcher.start()
        until = time.monotonic() + (20 if scale == "full" else 10)
        editors = [ConfigEditor(fleet, i, until) for i in range(4)]
        for editor in editors:
            editor.start()
        for editor in editors:
            editor.join()
        time.sleep(IN_FORCE_LIMIT_S)
        watcher.is_stopping = True
        watcher.join()
        accepted = [a for r in editors for a in r.accepted]
        slowest = max((watcher.seconds_to(n, t) for n, _, t in accepted),
                      default=0)
        numbers = [n for n, _, _ in accepted]
        history = promoted_deadlines(fleet, fleet.nodes[0], numbers)
        lost = sum(history.get(n) != d for n, d, _ in accepted)
        lost += len(numbers) - len(set(numbers))
        faults = [f for r in editors for f in r.faults]
        if faults:
            print("faults:", faults[:3])
        return {
            "nodes": nodes, "accepted": len(accepted),
            "conflicts": sum(r.conflicts for r in editors),
            "faults": len(faults), "in_force_s": round(slowest, 3),
            "reverts": watcher.reverts, "lost_updates": lost,
            "pass": bool(accepted) and slowest <= IN_FORCE_LIMIT_S and
            watcher.reverts == 0 and lost == 0 and not faults,
        }


# ---- control-cost ----


def measure_cost(fleet, seconds):
    """Measures for some seconds.  Returns the bytes per second and the share
    of a core, as means over the nodes, the highest resident size, and the
    key-value calls per second and open watches of all nodes.
    """
    before = [(n.metrics(), n.cpu_seconds()) for n in fleet.nodes]
    calls_before = fleet.kv_calls()
    start = time.monotonic()
    time.sleep(seconds)
    span = time.monotonic() - start
    bytes_s, cpu = [], []
    for node, (old, old_cpu) in zip(fleet.nodes, before):
        new = node.metrics()
        transferred = sum(v - old.get(k, 0) for k, v in new.items()
                          if k.startswith("wire_bytes_total"))
        bytes_s.append(transferred / span)
        cpu.append((node.cpu_seconds() - old_cpu) / span)
    calls = (fleet.kv_calls() - calls_before) / span
    mean = sum(bytes_s) / len(bytes_s)
    return {"bytes_s": mean, "bytes_max": max(bytes_s),
            "cpu": sum(cpu) / len(cpu),
            "memory": max(n.resident_bytes() for n in fleet.nodes),
            "kv_s": calls, "watches": fleet.kv_watches()}


def slope(points):
    """Returns (slope, value at zero) of the least-squares line."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sxx = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / sxx
    return gradient, mean_y - gradient * mean_x


def extrapolate(points):
    """Returns the value for LARGE_FLEET nodes, from (nodes, value) pairs."""
    gradient, base = slope(points)
    return gradient * LARGE_FLEET + base


def control_cost(seed, scale):
    """Measures the cost of an idle fleet at several sizes.  The cost per node
    is extrapolated to LARGE_FLEET nodes; the load on the key-value service
    must grow more slowly than the number of nodes.
    """
    sizes = [4, 8, 16, 32, 64] if scale == "full" else [4, 8, 16]
    rows = []
    for size in sizes:
        with Fleet(seed, {"etela": ["etela-a", "etela-b"],
                          "pohjoinen": ["pohjoinen-a", "pohjoinen-b"]}
                   ) as fleet:
            plain_fleet(fleet, size, engines=4)
            time.sleep(4)
            row = measure_cost(fleet, 6)
            rows.append((size, row))
            print(f"nodes={size} " + " ".join(
                f"{k}={v:.4g}" for k, v in row.items()), flush=True)
    large = {k: extrapolate([(n, r[k]) for n, r in rows])
             for k in ("bytes_s", "cpu", "memory")}
    first, last = rows[0], rows[-1]
    # An open watch counts as one call per second.
    loads = [r["kv_s"] + r["watches"] for r in (first[1], last[1])]
    kv_growth = (loads[1] / max(loads[0], 0.01)) / (last[0] / first[0])
    return {
        "sizes": "/".join(map(str, sizes)),
        "bytes_s_at_390": round(large["bytes_s"]),
        "cpu_at_390": round(large["cpu"], 4),
        "memory_mb_at_390": round(large["memory"] / 2**20, 1),
        "kv_s": "/".join(f"{r['kv_s']:.1f}" for _, r in rows),
        "watches": "/".join(str(r["watches"]) for _, r in rows),
        "kv_growth_to_nodes": round(kv_growth, 2),
        "pass": large["bytes_s"] <= BYTES_LIMIT and
        large["cpu"] <= CPU_LIMIT and large["memory"] <= MEMORY_LIMIT and
        kv_growth < 1,
    }


# ---- region-split ----

TWO_REGIONS = {"etela": ["etela-a", "etela-b"], "pohjoinen": ["pohjoinen-a"]}
LINK_BYTES_S = 30_000_000 // 8
SPLIT_S = 6  # duration of each split


def bytes_between_regions(fleet):
    """Returns the bytes sent so far between the regions, in the direction with
    more traffic.
    """
    sent = {}
    for word in fleet.proxy_command("stats").split():
        pair, count = word.split("=")
        sent[pair] = int(count)
    south = sum(sent.get(f"{a}-3", 0) for a in (1, 2))
    north = sum(sent.get(f"3-{a}", 0) for a in (1, 2))
    return max(south, north)


def split_regions(fleet, is_split):
    for zone in (1, 2):
        fleet.proxy_command(f"split {zone} 3 {'on' if is_split else 'off'}")


def region_split(seed, scale):
    """The link between two regions is cut and restored, twice.  Each region
    must serve its own callers all the time, and the control traffic over the
    link must stay within its budget.
    """
    budget = LINK_BYTES_S // 4
    with Fleet(seed, TWO_REGIONS, uses_proxy=True) as fleet:
        fleet.links = [{"between": list(TWO_REGIONS), "one_way_ms": 20,
                        "bytes_per_s": budget}]
        fleet.link_delays(20000, LINK_BYTES_S)
        faults.online_fleet(fleet, engines=6, nodes=6)
        watcher = RevisionWatcher(fleet)
        watcher.start()
        regions = {r: [n for n in fleet.nodes if n.zone in zones]
                   for r, zones in TWO_REGIONS.items()}
        callers = {
            r: Callers(fleet.key("kit-desk"),
                       lambda nodes=nodes: [n.http for n in nodes], 8,
                       faults.make_chat_factory(), seed + i, 15).start()
            for i, (r, nodes) in enumerate(regions.items())}
        start = time.monotonic()
        before = bytes_between_regions(fleet)
        time.sleep(3)
        for _ in range(2):
            split_regions(fleet, True)
            time.sleep(SPLIT_S)
            split_regions(fleet, False)
            time.sleep(3)
        accepted = promote_one(fleet, seed)
        time.sleep(IN_FORCE_LIMIT_S)
        span = time.monotonic() - start
        link_bytes_s = (bytes_between_regions(fleet) - before) / span
        outcomes = {r: c.stop() for r, c in callers.items()}
        watcher.is_stopping = True
        watcher.join()
        in_force_s = watcher.seconds_to(*accepted)
        result = {"crossing_bytes_s": round(link_bytes_s), "budget": budget,
                  "in_force_s": round(in_force_s, 2),
                  "reverts": watcher.reverts}
        bad = 0
        for region, found in outcomes.items():
            failed = [o for o in found if o.kind != ANSWERED]
            for o in failed[:4]:
                print(f"{region}: {o.marker} {o.kind} {o.status} {o.detail}")
            result[f"{region}_online"] = len(found)
            result[f"{region}_failed"] = len(failed)
            bad += len(failed) + (len(found) < 50)
        result["pass"] = (bad == 0 and link_bytes_s <= budget and
                          in_force_s <= IN_FORCE_LIMIT_S and
                          watcher.reverts == 0)
        return result


def promote_one(fleet, seed, **changes):
    """Tries and promotes a configuration; returns (revision, time in s)."""
    node = fleet.nodes[0]
    document = fleet.document(**(changes or {
        "limits": {**fleet.limits, "deadline_ms": 20000 + seed}}))
    status, trial = admin(fleet, node, "POST", "/admin/config/try", document)
    assert status == 200, trial
    status, response = admin(fleet, node, "POST", "/admin/config/promote",
                             {"revision": trial["number"]})
    assert status == 200, response
    return response["number"], time.monotonic()


SCENARIOS = {"config-race": config_race, "control-cost": control_cost,
             "region-split": region_split}
