"""Scenarios with batch jobs.  Each item must have exactly one readable result,
and a cancelled job must stop.
"""

import json
import random
import time

from callers import ANSWERED, CUT, REFUSED, WRONG, Callers, count, executions
from faults import make_chat_factory, online_fleet, nodes_in_rotation, restart
from fleet import Fleet, request
from jobs import Job, item, service_item

CANCEL_LIMIT_S = 5.0  # no item of a cancelled job may start after this


def make_items(rng, size, prefix, tokens=(4, 20)):
    """Returns chat items; one in forty is refused by the engines."""
    items = []
    for i in range(size):
        content = f"note {prefix}-{i}"
        if rng.random() < 0.025:
            content = "CANNOT-BE-DONE " + content
        items.append(item(f"{prefix}-{i}", content, rng.randint(*tokens)))
    return items


def sum_audits(jobs):
    """Returns the sum of the jobs' audits."""
    total = {"lost": 0, "duplicate": 0, "unreadable": 0, "unknown": 0}
    for job in jobs:
        for key, value in job.audit().items():
            total[key] += value
    return total


def counts_match(job):
    """Whether completed, failed and cancelled items add up to the total."""
    counts = job.state.get("request_counts", {})
    cancelled = counts.get("cancelled", 0)
    return counts.get("completed", -1) + counts.get(
        "failed", -1) + cancelled == counts.get("total", -2)


# ---- crash ----


def crash(seed, scale):
    """Nodes are killed at random times, right after acknowledging a job, and
    twice in a row.  No item may be lost or have two results.
    """
    size = 1500 if scale == "full" else 500
    with Fleet(seed) as fleet:
        fleet.batch = {"shard_items": 60, "lease_s": 3, "commit_ms": 500}
        online_fleet(fleet, engines=6, nodes=4)
        rng = random.Random(seed)
        callers = Callers(fleet.key("kit-desk"),
                          lambda: nodes_in_rotation(fleet), 8,
                          make_chat_factory(), seed, 15).start()
        jobs = [Job(fleet, make_items(rng, size, f"a{seed}"), f"a{seed}")]
        jobs[0].submit()
        kill_random_nodes(fleet, rng, kills=3)
        jobs.append(Job(fleet, make_items(rng, size // 2, f"b{seed}"),
                        f"b{seed}"))
        jobs[1].submit()
        victim = fleet.nodes[rng.randrange(len(fleet.nodes))]
        restart(fleet, victim)  # right after the job was acknowledged
        jobs[1].create()  # the client sends the same job again
        restart(fleet, victim)  # the same node again
        done = all([job.wait(40) for job in jobs])
        outcomes = callers.stop()
        audit = sum_audits(jobs)
        right = all(counts_match(job) for job in jobs)
        return {
            "items": sum(len(j.items) for j in jobs), "finished": done,
            **audit, "counts_right": right, "online": len(outcomes),
            "online_wrong": count(outcomes, WRONG),
            "pass": done and right and not any(audit.values()) and
            count(outcomes, WRONG) == 0,
        }


def kill_random_nodes(fleet, rng, kills):
    for _ in range(kills):
        time.sleep(rng.uniform(0.5, 1.5))
        restart(fleet, rng.choice(fleet.nodes))


# ---- cancel ----


def cancel(seed, scale):
    """A job is cancelled under load while a node is killed.  No item may start
    after CANCEL_LIMIT_S, and the results must match the counts.
    """
    size = 6000 if scale == "full" else 3000
    with Fleet(seed) as fleet:
        fleet.batch = {"shard_items": 100, "lease_s": 3, "commit_ms": 500}
        online_fleet(fleet, engines=4, nodes=3)
        rng = random.Random(seed)
        callers = Callers(fleet.key("kit-desk"),
                          lambda: nodes_in_rotation(fleet), 4,
                          make_chat_factory(), seed, 15).start()
        job = Job(fleet, make_items(rng, size, f"c{seed}", (40, 80)),
                  f"c{seed}")
        job.submit()
        time.sleep(4)
        victim = rng.choice(fleet.nodes)
        victim.process.kill()
        victim.is_out_of_rotation = True
        job.cancel()
        cancelled_us = int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1e6)
        fleet.start_node(victim)
        time.sleep(CANCEL_LIMIT_S + 4)
        job.wait(15)
        callers.stop()
        late = 0
        for server in fleet.servers:
            for entry in server.log():
                is_item = entry.get("arrived_us", 0) > (
                    cancelled_us + CANCEL_LIMIT_S * 1e6)
                late += is_item and entry.get("tokens", 0) >= 40
        results = job.lines("output_file_id")
        audit = job.audit()
        counts = job.state.get("request_counts", {})
        print(job.state)
        return {
            "items": size, "status": job.state["status"],
            "completed": counts.get("completed"),
            "results_readable": len(results), "new_after_5s": late,
            "duplicate": audit["duplicate"],
            "counts_right": counts_match(job),
            "pass": job.state["status"] == "cancelled" and late == 0 and
            len(results) == counts.get("completed") and
            0 < len(results) < size and audit["duplicate"] == 0 and
            counts_match(job),
        }


# ---- store-outage ----


def store_outage(seed, scale):
    """The key-value service loses responses, is slow, and then down, while
    online requests and jobs continue.  No request may fail and no item may
    be lost.
    """
    size = 1200 if scale == "full" else 500
    with Fleet(seed) as fleet:
        fleet.batch = {"shard_items": 60, "lease_s": 3, "commit_ms": 500}
        online_fleet(fleet, engines=6, nodes=3)
        rng = random.Random(seed)
        callers = Callers(fleet.key("kit-desk"),
                          lambda: nodes_in_rotation(fleet), 12,
                          make_chat_factory(), seed, 15).start()
        jobs = [Job(fleet, make_items(rng, size, f"s{seed}"), f"s{seed}")]
        jobs[0].submit()
        fleet.platform_set(lose_answers=0.3)
        jobs.append(Job(fleet, make_items(rng, 100, f"t{seed}"),
                        f"t{seed}"))
        jobs[1].submit()
        fleet.platform_set(lose_answers=0.0, slow_ms=300)
        time.sleep(2)
        fleet.platform_set(slow_ms=0)
        late = Job(fleet, [item("x-1", "late", 4)], f"down{seed}")
        late.upload()
        fleet.platform_set(down_ms=6000)
        status, ran = send_while_down(fleet, late)
        time.sleep(6)
        false_no = int(ran == "no" and exists(late))
        print(f"while down: status={status} ran={ran} exists={exists(late)}")
        if status == 200:
            late.create()
            jobs.append(late)
        before = [n.metrics().get("config_revision", 0)
                  for n in fleet.nodes]
        done = all([job.wait(40) for job in jobs])
        outcomes = callers.stop()
        audit = sum_audits(jobs)
        failed = [o for o in outcomes if o.kind != ANSWERED]
        for o in failed[:5]:
            print(f"failed {o.marker} {o.kind} {o.status} {o.detail}")
        return {
            "online": len(outcomes), "online_failures": len(failed),
            "jobs_finished": done, **audit, "false_not_run": false_no,
            "config": "/".join(map(str, before)),
            "pass": not failed and done and not any(audit.values()) and
            false_no == 0 and min(before) >= 1 and
            all(counts_match(j) for j in jobs),
        }


def send_while_down(fleet, job):
    """Creates a job from an uploaded file while the key-value service is down.
    Returns the status and the verdict header, or (0, None).
    """
    try:
        status, headers, _ = request(
            fleet.nodes[0].http, "POST", "/v1/batches",
            {"input_file_id": job.file_id, "endpoint": "/v1/chat/completions",
             "completion_window": "24h"},
            {"authorization": "Bearer " + fleet.key("batch-desk"),
             "content-type": "application/json", "idempotency-key": job.name,
             "x-deadline-ms": "2000"}, timeout=15)
    except OSError:
        return 0, None
    return status, headers.get("x-cardamompick-ran")


def exists(job):
    """Whether a job with the same input file is in the list of batches."""
    listed = json.loads(job.call("GET", "/v1/batches?limit=100"))["data"]
    return any(j["input_file_id"] == job.file_id for j in listed)


SCENARIOS = {"crash": crash, "store-outage": store_outage, "cancel": cancel}
