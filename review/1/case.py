"""A job that was refused with 429 at every attempt runs later: its home was
frozen, and accepts the forwarded job when it wakes."""
import base64
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from harness import (Site, finish, give_up, is_troubled, new_id,  # noqa: E402
                     read_job, read_until, submit)

MAX_COUNT = 10000
FREEZE_LIMIT_S = 5.0  # "for_s: how long (5)" in the list of kinds
N_JOBS = 6

site = Site(HERE)
released = threading.Event()
long_items = set()


def events(request_id, body):
    """Four events; the items of the first job have as many as it takes until
    they are released."""
    number = 0
    while number < 4 or (request_id in long_items and not released.is_set()):
        number += 1
        yield 0.05, f"{request_id}.{number}"


def runner_of(job):
    """The machine that runs a job, by the platform's store: only to choose
    which one freezes."""
    head = base64.b64decode(site.store.items[f"jobs/a/h/{job}"]["value"])
    return next((n for n in site.stores if n.name.encode() in head), None)


site.batch_route(max_count=MAX_COUNT)
site.configure()
for _ in range(3):
    site.add_server(events)
if not site.start():
    give_up(site, "the machines did not get ready")

# Ordinary jobs first, at all machines.
for front in site.fronts:
    jobs = [new_id() for _ in range(8)]
    for job in jobs:
        if submit(site, [front], job, [new_id()], 100)[-1:] != [202]:
            give_up(site, "an ordinary job was not accepted")
    for job in jobs:
        if not read_until(site, front, job, 1, 8):
            give_up(site, "an ordinary job was not served")

# A job fills most of what may wait on the route.
full_job, full_items = new_id(), [new_id() for _ in range(3)]
long_items.update(full_items)
if submit(site, site.fronts, full_job, full_items, 3000)[-1:] != [202]:
    give_up(site, "the job that fills the route was not accepted")
runner = runner_of(full_job)
if runner is None:
    give_up(site, "the job that fills the route runs at no store machine")
frozen = next(n for n in site.stores if n is not runner)
time.sleep(0.5)

# The other store machine freezes while further jobs come, which don't fit.
started = time.monotonic()
if is_troubled():
    frozen.signal(signal.SIGSTOP)
time.sleep(0.05)
jobs = {new_id(): [new_id() for _ in range(2)] for _ in range(N_JOBS)}
answers = {}
threads = [threading.Thread(target=lambda j=j, i=i, n=n: answers.update(
    {j: submit(site, site.fronts[n % 3:] + site.fronts[:n % 3], j, i, 1500)}))
    for n, (j, i) in enumerate(jobs.items())]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()

# The route gets room again, and the machine wakes.
released.set()
while time.monotonic() - started < FREEZE_LIMIT_S - 0.3:
    status, answer = read_job(site, site.fronts[0], full_job, 0, 0)
    if status == 200 and len(answer["results"]) == 3:
        break
    time.sleep(0.05)
site.record.note("the job that filled the route is listed completely")
frozen_s = time.monotonic() - started
if is_troubled():
    frozen.signal(signal.SIGCONT)
    site.record.note(f"{frozen.name} was frozen for {frozen_s:.2f} s")
if frozen_s > FREEZE_LIMIT_S:
    give_up(site, f"the freeze took {frozen_s:.2f} s")
time.sleep(8)

broken = []
for job, items in jobs.items():
    runs = site.runs_of(set(items))
    site.record.note(f"job {job}: answered {answers[job]}, runs of its items: "
                     f"{runs}")
    if runs and answers[job] and all(s in (429, 503, 408, 421)
                                     for s in answers[job]):
        broken.append(job)
finish(site, not broken,
       f"{len(broken)} of {len(jobs)} jobs ran that were refused at every "
       "attempt" if broken else "no refused job ran")
