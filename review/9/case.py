"""Do servers run requests under the ids that their clients sent?"""
import sys
import time
sys.path.insert(0, "review/common-2")
from harness import *  # noqa: E402,F403

ID_BYTES = 96 if TROUBLE else 64

site = Site()
site.routes.append({"name": "orders", "host": HOST, "prefix": "/orders/",
                    "kind": "unsafe", "timeoutMs": 5000,
                    "targetLatencyMs": 300, "priority": 0,
                    "service": "web", "maxAttempts": 1})
site.services.append("web")
for n in range(3):
    site.add_engine("ab"[n % 2], PlainServer(), "web")
site.configure()
fronts, _ = start_nodes(site)

sent = []
answered = 0
foreign = []
for n in range(20):
    # One request of a caller, and its number at the end.
    tail = f"-{n:04d}"
    request_id = ("lantern-office-etela-a.class-orders.2026-12-06T12:00:00Z."
                  "9c41d07be2a35f68-4b1f-8e0d-5c1e07a291bd3f06e4402b7d0d6a"
                  )[:ID_BYTES - len(tail)] + tail
    assert len(request_id) == ID_BYTES
    sent.append(request_id)
    status, headers, body = fronts[n % 2].call(
        "POST", "/orders/new", f"order {n}".encode(),
        {"X-Attempt-Id": request_id, "X-Deadline-Ms": "5000"})
    record(f"{fronts[n % 2].name}: POST /orders/new {request_id} -> {status}, "
           f"X-Attempt-Id {headers.get('X-Attempt-Id')}")
    answered += status == 200
    if status == 200 and headers.get("X-Attempt-Id") != request_id:
        foreign.append(request_id)
    time.sleep(0.05)

record_runs(site)
runs = [run[1] for _, engine, _, _ in site.engines for run in engine.runs]
unknown = [i for i in runs if i not in sent]
record(f"{len(sent)} requests of {len(set(sent))} ids sent, {len(runs)} runs "
       f"of {len(set(runs))} ids, {len(unknown)} under ids that nobody sent; "
       f"{len(foreign)} answers with another id than the request's")
if not answered:
    finish(2, "no request was served")
if unknown:
    finish(1, f"UNASKED: {len(unknown)} requests ran under "
           f"{len(set(unknown))} ids that no client sent")
finish(0, "all requests ran under the ids that were sent")
