"""The results of a job are never listed once more than valueBytes of them
finished while the platform's store was down."""
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from harness import (BOUNDS, Site, finish, give_up, is_troubled,  # noqa: E402
                     new_id, read_job, read_until, submit)

N_ITEMS = 200        # "`items` lists the items, at most 200"
TEXT_BYTES = 12800   # of an item, as on the sheet: 171 events of 75 bytes
N_EVENTS = 20        # an event may hold several tokens
RUN_S = 1.0
OUTAGE_S = 4.5       # platform_down, for_s = 4.5 in the site file
LETTERS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789 ,"

site = Site(HERE)


def text_of(item):
    """The data of each event of an item; the same for each run of it."""
    draw = random.Random(item)
    return ["".join(draw.choices(LETTERS, k=TEXT_BYTES // N_EVENTS))
            for _ in range(N_EVENTS)]


def events(request_id, body):
    for data in text_of(request_id):
        yield RUN_S / N_EVENTS, data


site.batch_route()
site.configure()
for _ in range(5):
    site.add_server(events)
if not site.start():
    give_up(site, "the machines did not get ready")

job, items = new_id(), [new_id() for _ in range(N_ITEMS)]
if submit(site, site.fronts, job, items, 940)[-1:] != [202]:
    give_up(site, "the job was not accepted")
time.sleep(1.2)
if is_troubled():
    site.record.note("the platform's store is down (503)")
    site.store.is_down = True
    time.sleep(OUTAGE_S)
    site.store.is_down = False
    site.record.note(f"the platform's store is back after {OUTAGE_S} s")

# The servers have nothing to do but this job.  From here on all is calm.
results = read_until(site, site.fronts[0], job, N_ITEMS,
                     BOUNDS["finishS"] + 22)
calm = not any(at > site.record.now() - 5 for s in site.servers
               for at, _, _ in s.runs)
again = read_job(site, site.fronts[1], job, 0, 0, "a read from the start")
small = new_id()
is_serving = (submit(site, site.fronts, small, [new_id()], 940)[-1:] == [202]
              and len(read_until(site, site.fronts[2], small, 1, 10)) == 1)
runs = {item: 0 for item in items}
for server in site.servers:
    for done in server.finished:
        if done in runs:
            runs[done] += 1
site.record.note(f"{sum(1 for n in runs.values() if n)} of {N_ITEMS} items "
                 f"were finished by servers, {len(results)} are listed; "
                 f"the servers were idle in the last 5 s: {calm}; another "
                 f"job is served meanwhile: {is_serving}; writes refused by "
                 f"the store: {len(site.store.refusals)}")
if not is_serving:
    give_up(site, "the deployment serves no jobs at all")
wrong = [r["id"] for r in results if r["state"] != "completed" or
         r["text"] != "\n".join(text_of(r["id"]))]
finish(site, len(results) == N_ITEMS and not wrong,
       f"{N_ITEMS - len(results)} of {N_ITEMS} accepted items are not listed, "
       f"{len(wrong)} are listed wrongly" if len(results) < N_ITEMS or wrong
       else "all items are listed")
