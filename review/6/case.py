"""The runner of a batch job with long outputs is killed in the region without
the store: is the job taken over?"""
import queue
import random
import sys
import time
sys.path.insert(0, "review/common-2")
from harness import *  # noqa: E402,F403

JOB = "c2f80917a3e5b1d4"
N_ITEMS = 200
EVENTS = 20
EVENT_BYTES = 3000
KILL_AT_LISTED = 150
LINK_BYTES_PER_S = 30e6 / 8  # 30 Mbit/s each way between the regions
ONE_WAY_S = 0.02
FINISH_S = 18
RECOVERY_S = 12


class Writer(Engine):
    """Writes 60,000 characters for each item."""

    def event(self, request_id, number):
        return (f"id: {number}\ndata: {text_of(request_id, number)}\n\n"
                .encode())


def text_of(item, number):
    source = random.Random(f"{item} {number}")
    return base64.b64encode(source.randbytes(EVENT_BYTES * 3 // 4)).decode()


class Link:
    """A proxy: what the machines of a region have of the link between the
    regions, for all channels together, each way."""

    def __init__(self, port):
        self.target = port
        self.locks = [threading.Lock(), threading.Lock()]
        self.free_at = [0.0, 0.0]
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(128)
        self.port = self.socket.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.socket.accept()
            far = socket.create_connection(("127.0.0.1", self.target))
            for way, pair in enumerate(((near, far), (far, near))):
                threading.Thread(target=self.carry, args=(way, *pair),
                                 daemon=True).start()

    def carry(self, way, source, sink):
        pieces = queue.SimpleQueue()
        threading.Thread(target=self.deliver, args=(pieces, source, sink),
                         daemon=True).start()
        try:
            while data := source.recv(65536):
                with self.locks[way]:
                    start = max(time.monotonic(), self.free_at[way])
                    self.free_at[way] = start + len(data) / LINK_BYTES_PER_S
                    end = self.free_at[way]
                pieces.put((end + ONE_WAY_S, data))
                # A small window: the sender waits while much is under way.
                time.sleep(max(end - time.monotonic(), 0))
        except OSError:
            pass
        pieces.put((0, None))

    def deliver(self, pieces, source, sink):
        try:
            while (piece := pieces.get())[1] is not None:
                time.sleep(max(piece[0] - time.monotonic(), 0))
                sink.sendall(piece[1])
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            source.close()
            sink.close()


site = Site()
for n in range(3):
    site.add_engine("abc"[n], Writer(events=EVENTS, interval_s=0.22))
site.configure()
link = Link(site.store.port)
fronts, stores = start_nodes(site, fronts=3, stores=3, far_port=link.port)
far_front, far_store = fronts[2], stores[2]

items = [make_item(f"b7{n:014x}", f"/sheets/3/{n}") for n in range(N_ITEMS)]
sent_s = now()
if far_front.submit(JOB, "/sheets/7c41e0", items) != 202:
    finish(2, "the batch job was not accepted")


class Reader:
    """Reads results as clients do and checks them."""

    n = 0

    def read(self, node):
        answer = node.results(JOB, self.n)
        for result in answer["results"] if answer else []:
            whole = "\n".join(text_of(result["id"], k)
                              for k in range(1, EVENTS + 1))
            if result["state"] != "completed" or result["text"] != whole:
                finish(2, f"{result['id']} {result['state']} is not whole")
            self.n += 1
        return self.n


reader = Reader()
while reader.read(far_front) < KILL_AT_LISTED and now() - sent_s < 45:
    time.sleep(0.4)
record(f"{reader.n} items listed {now() - sent_s:.1f} s after the batch job "
       f"was sent, {reader.n * EVENTS * EVENT_BYTES / 1e6:.1f} MB of text")
if reader.n < KILL_AT_LISTED:
    finish(2, "the servers were too slow")
if TROUBLE:
    far_store.process.kill()
    far_store.process.wait()
    record("store-3, alone in its zone, is killed")
    time.sleep(2)
    far_store.start()
    record("store-3 starts again")
killed_s = now()
while now() - killed_s < RECOVERY_S + FINISH_S + 5 and reader.n < N_ITEMS:
    before = reader.n
    reader.read(fronts[0])
    if reader.n != before:
        record(f"{reader.n} items listed")
    time.sleep(2 if TROUBLE else 0.5)  # a read of the records is 12 MB
for node in (fronts[0], far_front):
    status = node.call("GET", f"/cardamompick/lots/{JOB}?after=0")[0]
    record(f"{node.name}: read from the start -> {status}")
record_runs(site)
record(f"{reader.n} of {N_ITEMS} items listed "
       f"{now() - killed_s:.0f} s later; requests at servers: "
       f"{sum(len(e.open) for _, e, _, _ in site.engines)}; the last run began "
       f"at {max(r[0] for _, e, _, _ in site.engines for r in e.runs):.1f} s")
if reader.n < N_ITEMS and not any(e.open for _, e, _, _ in site.engines):
    finish(1, f"LOST: {N_ITEMS - reader.n} items are not listed "
           f"{now() - killed_s:.0f} s after the machine is back, and all "
           "servers are idle")
finish(0 if reader.n == N_ITEMS else 2, f"{reader.n} items listed")
