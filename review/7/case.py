"""A configuration adds a route under the path of an open batch job, whose own
route stays: may its items be given up?"""
import sys
import time
sys.path.insert(0, "review/common-2")
from harness import *  # noqa: E402,F403

JOB = "7c41e09b52d6a3f8"
ITEMS = [f"e5b2907c14da{n:04x}" for n in range(60)]
RETENTION_S = 60

site = Site()
for n in range(3):
    # 10 s for an item: some run and some wait when the configuration changes.
    site.add_engine("ab"[n % 2], Engine(events=20, interval_s=0.5))
site.configure()
fronts, _ = start_nodes(site)

sent_s = now()
status = fronts[0].submit(JOB, "/sheets/spring/7c41e0",
                          [make_item(i, f"/sheets/3/{i}") for i in ITEMS])
if status != 202:
    finish(2, "the batch job was not accepted")
time.sleep(2)

# Version 10 adds one streaming route; all other routes stay as they were.
prefix = "/sheets/spring/" if TROUBLE else "/letters/spring/"
site.configure([{"name": "added", "host": HOST, "prefix": prefix,
                 "kind": "streaming", "timeoutMs": 5000,
                 "targetLatencyMs": 300, "priority": 0, "service": "llm",
                 "maxAttempts": 1, "gapTargetMs": 300}])
changed_s = now()

states = {}
while now() - sent_s < RETENTION_S - 5 and len(states) < len(ITEMS):
    answer = fronts[1].results(JOB, len(states))
    for result in answer["results"] if answer else []:
        states[result["id"]] = result["state"]
        record(f"result {len(states) - 1}: {result['id']} {result['state']}, "
               f"{now() - sent_s:.1f} s after the batch job was sent")
    time.sleep(0.3)

began = {run[1] for _, engine, _, _ in site.engines for run in engine.runs}
record_runs(site)
dead = [i for i, state in states.items() if state == "dead_letter"]
record(f"{len(states)} of {len(ITEMS)} items listed, {len(dead)} of them as "
       f"dead_letter; of these, {len([i for i in dead if i not in began])} "
       f"were never sent to a server; no server answered 422 or 500")
if dead:
    finish(1, f"MIXED: {len(dead)} of {len(ITEMS)} items are dead_letter, "
           f"{now() - changed_s:.0f} s after the change at the latest")
if len(states) < len(ITEMS):
    finish(2, "not all items were listed in time")
finish(0, "all items completed")
