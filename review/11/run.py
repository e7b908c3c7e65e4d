"""A checkpoint write that the store does late, and then a killed runner."""
import asyncio
import base64
import json
import os
import pathlib
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))
import small_site as site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
N_ITEMS = 24
N_EVENTS = 280
LATE_S = 5.6  # within 1 to 6 s
record = open(HERE / "record.txt", "w")


def note(text):
    print(f"{time.monotonic() - started:6.2f} {text}", file=record, flush=True)


def text_of(request_id, n):
    """The data of an event: 390 bytes, lengths in micrometres."""
    seed = n * 7919 + int(request_id[-2:], 16) * 104729
    return ",".join(str(311111111 + (seed + i * 15485863) % 600000000)
                    for i in range(39))


def whole_text(request_id):
    return "\n".join(text_of(request_id, n) for n in range(1, N_EVENTS + 1))


def checkpoint_pieces(body):
    """Returns how many pieces of a checkpoint a transaction writes."""
    if body is None or any("jobs/a/h/" in row["key"]
                           for row in body.get("setKeys", [])):
        return 0
    return sum("/partial" in row["key"] for row in body.get("setKeys", []))


class Trouble:
    """Lets the first checkpoint write be done late and unanswered."""

    def __init__(self):
        self.stored = []  # pieces of the checkpoints that were answered
        self.late_at = None

    def rule(self, name, body):
        n = checkpoint_pieces(body) if name == "kv-txn" else 0
        if n == 0:
            return None
        if TROUBLE and self.late_at is None:
            self.late_at = time.monotonic() + LATE_S
            note(f"store: checkpoint of {n} pieces, no answer, "
                 f"done {LATE_S} s later")
            return ("late", LATE_S)
        self.stored.append(n)
        note(f"store: checkpoint of {n} pieces, answered")
        return None


async def read_all(front, job, wait_s):
    end = time.monotonic() + wait_s
    results = []
    while time.monotonic() < end and len(results) < N_ITEMS:
        status, _, body = await site.call(
            front, "GET", f"/cardamompick/lots/{job}?after={len(results)}",
            headers={"X-Wait-Ms": "1000"})
        if status == 200:
            results += json.loads(body)["results"]
        await asyncio.sleep(0.4)
    return results


async def main(folder):
    store = site.Store()
    await store.start()
    engines = []
    for i in range(6):
        engine = site.Engine(f"i-{i}a4c", text_of, N_EVENTS, 0.06)
        await engine.start()
        engines.append(engine)
        store.put(f"servers/{engine.name}", engine.entry("ab"[i % 2]))
    store.put("op/config", site.configuration(
        7, [site.route("ask", "streaming", resumable=True, gapTargetMs=300),
            site.batch_route()]))
    nodes, is_ready = await site.start_nodes(store, folder)
    try:
        return await play(store, nodes, engines) if is_ready else 2
    finally:
        for node in nodes:
            await node.kill()


async def play(store, nodes, engines):
    trouble = Trouble()
    store.rule = trouble.rule
    front = next(n for n in nodes if n.is_front).front
    job = "7c41e09b52d6a3f8"
    items = [f"e5b2907c14da6f{i:02x}" for i in range(N_ITEMS)]
    body = json.dumps({"items": [
        {"id": item, "path": f"/sheets/3/{item}", "tokens": 3000,
         "headers": {"X-Model": "m", "X-Token-Counts": "350,2650"},
         "body": base64.b64encode(item.encode()).decode()}
        for item in items]}).encode()
    status = (await site.call(front, "POST", "/sheets/new", body,
                              {"X-Attempt-Id": job}))[0]
    note(f"client: job {job} of {N_ITEMS} items, answer {status}")
    if status != 202:
        return 2
    if TROUBLE:
        while trouble.late_at is None or \
                time.monotonic() < trouble.late_at + 0.2:
            await asyncio.sleep(0.05)
            if time.monotonic() - started > 60:
                return 2
        # A record has the identity of its last write in front.
        text = store.value(f"jobs/a/h/{job}")
        runner = json.loads(text[text.index(b"{"):])["runner"].split("#")[0]
        note(f"kill of {runner}, which runs the job")
        await next(n for n in nodes if n.name == runner).kill()
    results = await read_all(front, job, 60)
    for engine in engines:
        for at, request_id, after in engine.runs:
            note(f"server {engine.name}: at {at - started:.2f} item "
                 f"{request_id} after {after}")
    wrong = [r for r in results if r["state"] == "completed"
             and r["text"] != whole_text(r["id"])]
    note(f"client: {len(results)} results, "
         f"{sum(r['state'] == 'completed' for r in results)} completed")
    for result in wrong:
        want = whole_text(result["id"])
        note(f"client: item {result['id']} is listed as completed with "
             f"{len(result['text'])} bytes, the whole output has {len(want)}; "
             f"it begins with {result['text'][:60]!r}")
    if len(results) < N_ITEMS and not wrong:
        return 2
    return 1 if wrong else 0


started = time.monotonic()
with tempfile.TemporaryDirectory() as name:
    code = site.run(main(pathlib.Path(name)))
note(f"exit {code}")
sys.exit(code)
