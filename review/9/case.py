"""The operator adds a route.  Are its requests answered by the service's
servers, whatever their path?"""
import sys
import time
sys.path.insert(0, "review/common-2")
from harness import *  # noqa: E402,F403

PREFIX = "/" if TROUBLE else "/shop/"
PATHS = ["stock", "metrics", "stock?day=2", "metrics?day=2"]

site = Site()
site.services.append("web")
for n in range(3):
    site.add_engine("ab"[n % 2], PlainServer(), "web")
site.configure()
fronts, _ = start_nodes(site)
site.configure([{"name": "shop", "host": HOST, "prefix": PREFIX,
                 "kind": "safe", "timeoutMs": 5000, "targetLatencyMs": 300,
                 "priority": 0, "service": "web", "maxAttempts": 2}])
time.sleep(4)  # configApplyMs is 2,500 ms

served = 0
wrong = []
for n in range(40):
    request_id = f"5d07b8c2{n:08x}"
    path = PREFIX + PATHS[n % len(PATHS)]
    status, headers, body = fronts[n % 2].call(
        "GET", path, None, {"X-Attempt-Id": request_id,
                            "X-Deadline-Ms": "5000"})
    seal = headers.get("X-Response-Seal")
    record(f"{fronts[n % 2].name}: GET {path} {request_id} -> {status}, "
           f"X-Response-Seal {seal}, {len(body)} bytes: {body[:60]!r}")
    if 200 <= status < 300:
        served += 1
        if seal != "seal." + request_id or \
                not body.startswith(f"answer to {request_id} by ".encode()):
            wrong.append(path)
    time.sleep(0.05)

record_runs(site)
if served < 30:
    finish(2, "too few requests were served")
if wrong:
    finish(1, f"MIXED: {len(wrong)} of {served} successes have no seal of a "
           f"server and another body: {sorted(set(wrong))}")
finish(0, f"{served} successes, all with the server's seal and body")
