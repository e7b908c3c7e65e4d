"""Stand-ins and helpers for the cases of this review: the platform's metadata
store, model servers, clients, and the start of a small deployment.

The nodes are the program of deploy/system.toml, started from the repository's
root with settings that are made from deploy/node.json.in, as the platform
does it.  Everything listens on loopback addresses, each node on one of its
own.  Nothing here fails by chance: disruptions are ordered by the cases.
"""
import base64
import http.client
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/bin/cardamompick"
HOST = "desk.example"
VALUE_BYTES = 1048576
ANSWER_MS = 4
HEARTBEAT_MS = 1200
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000,
          "ackMs": 5000, "catchUpS": 4.8, "drainMs": 2500, "graceS": 8,
          "lostSlackMs": 200, "configApplyMs": 2500, "rollbackSlackMs": 250,
          "maxSkewMs": 6000, "recoveryS": 12, "passMs": 300, "againS": 0,
          "finishS": 18, "statusS": 120, "cancelMs": 3000, "settleMs": 1000,
          "quotaOverage": 0.1}


class Record:
    """The file record.txt of a case: one line for each thing that was sent,
    answered, run or done, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


class Quiet(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass  # a peer that closes its connection


def serve(handler, address):
    server = Quiet((address, 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, server.server_address[1]


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self, address, record):
        self.record = record
        self.lock = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self.next_lease = 100
        self.is_down = False
        self.refusals = []  # (status, key) of writes that were not valid
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def run(self, method):
                parts = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(
                    parts.query, keep_blank_values=True))
                size = int(self.headers.get("content-length", 0))
                text = self.rfile.read(size) if size else b""
                body = json.loads(text) if text else {}
                time.sleep(ANSWER_MS / 1000)
                status, answer = store.answer(method, parts.path, query, body)
                out = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(out)))
                self.end_headers()
                self.wfile.write(out)

            def do_GET(self):
                self.run("GET")

            def do_POST(self):
                self.run("POST")

            def do_DELETE(self):
                self.run("DELETE")

            def log_message(self, *args):
                pass

        self.server, self.port = serve(Handler, address)
        self.address = f"{address}:{self.port}"

    # ---- what the operator and the servers do ----

    def put(self, key, value):
        with self.lock:
            self.revision += 1
            self.set_item(key, base64.b64encode(
                json.dumps(value).encode()).decode(), 0)

    def keys(self, prefix):
        with self.lock:
            return sorted(k for k in self.items if k.startswith(prefix))

    # ---- data; the lock is held ----

    def add_event(self, event):
        self.history = (self.history + [event])[-20000:]
        self.lock.notify_all()

    def set_item(self, key, value, lease):
        old = self.items.get(key)
        self.items[key] = {
            "key": key, "value": value, "revision": self.revision,
            "createRev": old["createRev"] if old else self.revision,
            "lease": lease}
        self.add_event(self.items[key])

    def remove_item(self, key):
        if self.items.pop(key, None) is not None:
            self.add_event({"key": key, "revision": self.revision,
                            "tombstone": True})

    def end_leases(self):
        now = time.monotonic()
        for lease in [n for n, (_, end) in self.leases.items() if end < now]:
            del self.leases[lease]
            self.revision += 1
            for key in [k for k, i in self.items.items()
                        if i["lease"] == lease]:
                self.remove_item(key)

    # ---- calls ----

    def answer(self, method, path, query, body):
        name = path.removeprefix("/cardamompick/")
        with self.lock:
            if self.is_down:
                return 503, {}
            self.end_leases()
            if name == "kv-key":
                item = self.items.get(query["key"])
                return (404, {}) if item is None else (
                    200, {**item, "currentRev": self.revision})
            if name == "kv-range":
                return self.call_range(query)
            if name == "kv-watch":
                return self.call_watch(query)
            if name == "kv-txn":
                return self.call_txn(body)
            return self.call_lease(name, body)

    def call_range(self, query):
        page, size = [], 0
        keys = sorted(k for k in self.items if k.startswith(query["prefix"])
                      and k > query.get("after", ""))
        for key in keys:
            size += len(self.items[key]["value"])
            if page and (len(page) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            page.append(self.items[key])
        return 200, {"items": page, "truncated": len(page) < len(keys),
                     "currentRev": self.revision}

    def call_watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while not self.is_down:
            events = [e for e in self.history if e["revision"] > after
                      and e["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            self.lock.wait(min(left, 0.1))
            self.end_leases()
        return 503, {}

    def call_txn(self, body):
        sets = body.get("setKeys", [])
        removes = body.get("remove", [])
        rows = body.get("expectedRev", [])
        names = [row["key"] for row in sets] + removes
        if len(sets) + len(removes) + len(rows) > 32:
            return self.refuse(400, names)
        if any(n.startswith(("op/", "servers/")) for n in names):
            return self.refuse(403, names)
        if any(len(base64.b64decode(row["value"])) > VALUE_BYTES
               for row in sets):
            return self.refuse(413, names)
        now = [self.items.get(row["key"]) for row in rows]
        if any((item["revision"] if item else 0) != row["revision"]
               for row, item in zip(rows, now)):
            return 412, {"items": [item or {"key": row["key"], "revision": 0}
                                   for row, item in zip(rows, now)]}
        if any(row.get("lease", 0) and row["lease"] not in self.leases
               for row in sets):
            return 404, {}
        self.revision += 1
        for row in sets:
            self.set_item(row["key"], row["value"], row.get("lease", 0))
        for key in removes:
            self.remove_item(key)
        return 200, {"revision": self.revision}

    def refuse(self, status, names):
        if not self.refusals or self.refusals[-1][1] != names:
            self.record.note(f"store: a write of {names} is refused with "
                             f"{status}")
        self.refusals.append((status, names))
        return status, {}

    def call_lease(self, name, body):
        if name == "kv-lease":
            self.next_lease += 1
            ttl = min(max(body["ttlMs"], 1000), 600000)
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        call, _, number = name.partition("/")
        lease = int(number)
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        end = time.monotonic() + ttl / 1000 if call == "kv-keep" else 0
        self.leases[lease] = (ttl, end)
        self.end_leases()
        return 200, {"lease": lease, "ttlMs": ttl}


class Server:
    """A model server: `slots` requests at once, a short queue, and for each
    run the events that `events(request)` yields as (pause_s, data).

    A run that is asked with Last-Event-Id n goes on after event n.  The
    server drops a run when its channel closes.
    """

    QUEUE = 24

    def __init__(self, name, address, store, record, events, slots=8,
                 service="llm", zone="a"):
        self.name, self.store, self.record = name, store, record
        self.events, self.slots = events, slots
        self.service, self.zone = service, zone
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.lock = threading.Condition()
        self.running = 0
        self.waiting = 0
        self.runs = []  # (seconds, request id, after)
        self.finished = []  # ids of runs that came to their end
        self.is_alive = True
        engine = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_POST(self):
                engine.handle(self)

            def do_GET(self):
                engine.handle_get(self)

            def log_message(self, *args):
                pass

        self.server, self.port = serve(Handler, address)
        self.address = f"{address}:{self.port}"
        threading.Thread(target=self.report, daemon=True).start()

    def report(self):
        """Writes the server's entry about every heartbeatMs."""
        seq = 0
        while self.is_alive:
            seq += 1
            if not self.store.is_down:
                self.store.put(f"servers/{self.name}", {
                    "service": self.service, "address": self.address,
                    "zone": self.zone, "version": "1", "slots": self.slots,
                    "state": self.state, "coldLeftMs": 0, "seq": seq,
                    "stage": "mixed", "born": self.born,
                    "models": [{"name": "m", "version": 1, "adapters": []}]})
            time.sleep(HEARTBEAT_MS / 1000)

    @staticmethod
    def answer(http_request, status, headers, body=b""):
        http_request.send_response(status)
        for name, value in headers.items():
            http_request.send_header(name, value)
        http_request.send_header("Content-Length", str(len(body)))
        http_request.end_headers()
        http_request.wfile.write(body)

    def handle_get(self, http_request):
        if http_request.path == "/health":
            self.answer(http_request, 200, {"X-Instance-Id": self.name})
            return
        body = json.dumps({
            "stage": "mixed", "busy": False, "seq": 0, "kvUsed": 0,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "waiting": self.waiting, "running": self.running,
            "kvTotal": 100000, "handles": 0}).encode()
        self.answer(http_request, 200, {"Content-Type": "application/json"},
                    body)

    def handle(self, http_request):
        headers = http_request.headers
        size = int(headers.get("content-length", 0))
        body = http_request.rfile.read(size)
        request_id = headers.get("X-Attempt-Id", "")
        echo = {"X-Attempt-Id": request_id}
        if headers.get("X-Expect-Instance", self.name) != self.name:
            self.answer(http_request, 421, {**echo, "X-Not-Executed": "1"})
            return
        if not request_id:
            self.answer(http_request, 400, {"X-Not-Executed": "1"})
            return
        with self.lock:
            if self.running >= self.slots and self.waiting >= self.QUEUE:
                is_full = True
            else:
                is_full = False
                self.waiting += 1
        if is_full:
            self.answer(http_request, 503, {**echo, "X-Not-Executed": "1"})
            return
        with self.lock:
            while self.running >= self.slots:
                self.lock.wait(0.1)
                if self.is_closed(http_request):
                    self.waiting -= 1
                    return
            self.waiting -= 1
            self.running += 1
        try:
            self.run(http_request, request_id, body, echo)
        finally:
            with self.lock:
                self.running -= 1
                self.lock.notify()

    @staticmethod
    def is_closed(http_request):
        """Whether the caller has closed the channel."""
        try:
            return http_request.connection.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def run(self, http_request, request_id, body, echo):
        after = int(http_request.headers.get("Last-Event-Id", 0) or 0)
        self.runs.append((self.record.now(), request_id, after))
        self.record.note(f"server {self.name}: run of {request_id} "
                         f"after event {after}")
        http_request.close_connection = True
        write = http_request.wfile.write
        try:
            http_request.send_response(200)
            for name, value in {
                    **echo, "X-Response-Seal": f"seal-{request_id}",
                    "Content-Type": "text/event-stream",
                    "X-Weight-Versions": "1",
                    "Transfer-Encoding": "chunked"}.items():
                http_request.send_header(name, value)
            http_request.end_headers()
            for number, (pause_s, data) in enumerate(
                    self.events(request_id, body), 1):
                if number <= after:
                    continue
                end = time.monotonic() + pause_s
                while True:
                    left = end - time.monotonic()
                    if self.is_closed(http_request):
                        raise BrokenPipeError
                    if left <= 0:
                        break
                    time.sleep(min(left, 0.05))
                event = f"id: {number}\ndata: {data}\n\n".encode()
                write(b"%x\r\n%s\r\n" % (len(event), event))
            write(b"0\r\n\r\n")
            self.finished.append(request_id)
            self.record.note(f"server {self.name}: {request_id} is finished")
        except OSError:
            self.record.note(f"server {self.name}: {request_id} is dropped, "
                             "its channel was closed")


# ---- the platform's template of settings ----

def lookup(stack, name):
    if name == ".":
        return stack[-1]
    for level, scope in enumerate(reversed(stack)):
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                break
        if value is not None or level + 1 == len(stack):
            return value
    return None


def render(text, stack):
    """Fills in a template as DEPLOY.md tells it."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill_section(match):
        sign, name, inner = match.groups()
        value = lookup(stack, name)
        is_there = value is not None and value is not False
        if sign == "^":
            return "" if is_there else render(inner, stack)
        if not is_there:
            return ""
        if isinstance(value, (list, dict)):
            entries = list(value.values() if isinstance(value, dict)
                           else value)
            return "".join(render(inner, stack + [e]) for e in entries)
        return render(inner, stack + [value])

    def fill(match):
        name, _, how = match.group(1).partition("|")
        value = lookup(stack, name)
        if how == "json" or isinstance(value, dict):
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(str(v) for v in value)
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.|]+)\}\}", fill, section.sub(fill_section, text))


class Node:
    """One machine: a process of the deploy file's program.

    The class `store` gets half of a core in its settings and runs jobs, the
    class `front` a quarter and gets the clients, as on the sheets.
    """

    def __init__(self, site, name, class_, zone, address, bootstrap):
        self.site, self.name, self.class_ = site, name, class_
        self.address = address
        is_front = class_ == "front"
        listen = {"control": f"{address}:8166"}
        if is_front:
            listen["front"] = f"{address}:8161"
            listen["ready"] = f"{address}:8167"
        self.fields = {
            "nodeName": name, "role": class_, "machineClass": class_,
            "serves": [class_, "control"], "ip": address, "zone": zone,
            "region": "north", "portRange": [7720, 7735],
            "seeds": site.seeds, "bootstrap": bootstrap,
            "faultCounted": not is_front, "heartbeatMs": HEARTBEAT_MS,
            "zones": site.zones, "listen": listen,
            "limits": {"cpuShare": 0.25 if is_front else 0.5, "cores": 1,
                       "memoryMb": 260 if is_front else 300},
            "bounds": BOUNDS,
            "platform": {"address": site.store.address, "form": "kv",
                         "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": VALUE_BYTES,
                         "ttlMinMs": 1000}}
        self.path = site.folder / f"{name}.json"
        self.log = open(site.folder / f"{name}.log", "ab")
        self.process = None

    def start(self):
        template = (ROOT / "deploy" / "node.json.in").read_text()
        self.path.write_text(render(template, [self.fields]))
        environment = {k: v for k, v in os.environ.items()
                       if k in ("PATH", "HOME", "LANG")}
        environment["CARDAMOMPICK_SETTINGS"] = str(self.path)
        self.process = subprocess.Popen(
            [PROGRAM], cwd=ROOT, env=environment, stdout=self.log,
            stderr=self.log)

    def signal(self, number):
        self.site.record.note(f"machine {self.name}: "
                              f"{signal.Signals(number).name}")
        self.process.send_signal(number)

    def restart(self):
        """Starts the process again after it has ended."""
        self.process.wait()
        self.fields["bootstrap"] = False
        self.site.record.note(f"machine {self.name}: started again")
        self.start()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Site:
    """A small deployment: a store, fronts and store machines."""

    def __init__(self, folder, n_fronts=3, n_stores=2):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.net = f"127.{random.randrange(20, 220)}." \
                   f"{random.randrange(1, 250)}."
        self.zones = {"a": "north", "b": "north"}
        self.store = Store(self.net + "2", self.record)
        self.servers = []
        self.version = 0
        self.routes = {}
        self.seeds = [f"{self.net}{10 + n}:8166" for n in range(3)]
        classes = ["front"] * n_fronts + ["store"] * n_stores
        self.nodes = [
            Node(self, f"{class_}-{n}", class_, "ab"[n % 2],
                 f"{self.net}{10 + n}", True)
            for n, class_ in enumerate(classes)]
        self.fronts = [n for n in self.nodes if n.class_ == "front"]
        self.stores = [n for n in self.nodes if n.class_ == "store"]

    def add_server(self, events, slots=8):
        number = len(self.servers)
        self.servers.append(Server(
            f"i-{number}", f"{self.net}{100 + number}", self.store,
            self.record, events, slots, zone="ab"[number % 2]))
        return self.servers[-1]

    def set_route(self, name, **fields):
        """Adds a route to the next configuration, or changes it."""
        self.routes[name] = {"name": name, "host": HOST, "service": "llm",
                             "sticky": True, **fields}

    def configure(self):
        """Writes the next configuration and returns when it is acked."""
        self.version += 3
        self.store.put("op/config", {
            "version": self.version, "routes": list(self.routes.values()),
            "services": [{"name": "llm", "maxConns": 180,
                          "healthPath": "/health",
                          "engine": {"slots": 8, "kvCapacity": 101495}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        self.record.note(f"operator: version {self.version} is acked, routes "
                         f"{sorted(self.routes)}")

    def batch_route(self, max_count=0, retention_s=60):
        self.set_route("sheets", prefix="/sheets/", kind="batch",
                       targetLatencyMs=400, completionTargetMs=18000,
                       maxAttempts=3, retentionS=retention_s, priority=2,
                       timeoutMs=15000, maxCount=max_count)

    def start(self, limit_s=25):
        """Starts all nodes; returns whether they are ready in time."""
        for node in self.nodes:
            node.start()
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(is_ready(node) for node in self.fronts) and self.joined():
                time.sleep(2.5)  # the settling time after a first start
                self.record.note("all machines are ready")
                return True
            time.sleep(0.1)
        return False

    def joined(self):
        """Whether all store machines, which nobody calls, have started."""
        return all("control.ready" in
                   (self.folder / f"{n.name}.log").read_text(errors="replace")
                   for n in self.stores)

    def runs_of(self, ids):
        """Returns (seconds, server, id) of the runs of these requests."""
        return sorted((at, server.name, request_id)
                      for server in self.servers
                      for at, request_id, _ in list(server.runs)
                      if request_id in ids)

    def close(self):
        for node in self.nodes:
            node.end()
        for server in self.servers:
            server.is_alive = False
        self.record.file.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", str(self.folder), keep], check=False)
        self.temporary.cleanup()


def is_ready(node):
    """Asks a front as the balancer does."""
    connection = http.client.HTTPConnection(node.address, 8167, timeout=1)
    try:
        connection.request("GET", "/cardamompick/readyz")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


# ---- clients ----

def new_id():
    return f"{random.getrandbits(64):016x}"


def call(record, node, method, path, body=None, headers=None, timeout_s=5.0,
         says=""):
    """One call on a new channel; returns (status, headers, body), status 0
    without an answer."""
    connection = http.client.HTTPConnection(node.address, 8161,
                                            timeout=timeout_s)
    started = time.monotonic()
    try:
        connection.request(method, path, body,
                           {"Host": HOST, **(headers or {})})
        response = connection.getresponse()
        text = response.read()
        status, answered = response.status, dict(response.headers)
    except (OSError, http.client.HTTPException):
        status, answered, text = 0, {}, b""
    finally:
        connection.close()
    if says:
        record.note(f"client: {says} at {node.name}: "
                    f"{status or 'no answer'} after "
                    f"{time.monotonic() - started:.3f} s")
    return status, {k.lower(): v for k, v in answered.items()}, text


def job_body(items, tokens):
    return json.dumps({"items": [{
        "id": item, "path": f"/sheets/{item}",
        "headers": {"X-Model": "m",
                    "X-Token-Counts": f"{tokens // 2},{tokens - tokens // 2}",
                    "X-Prompt-Prefix": f"{item}:{tokens // 2}"},
        "body": base64.b64encode(item.encode()).decode(),
        "tokens": tokens} for item in items]})


def send_job(record, node, job, items, tokens, timeout_s, says):
    return call(record, node, "POST", f"/sheets/{job}",
                job_body(items, tokens),
                {"X-Attempt-Id": job, "Content-Type": "application/json",
                 "X-Deadline-Ms": str(int(timeout_s * 1000))}, timeout_s,
                says)


def submit(site, nodes, job, items, tokens, budget_s=4.0, retries=1,
           name="a job"):
    """Submits a job as PROTOCOL.md tells of clients: a few attempts within
    the time budget, each at another node.  Returns the statuses."""
    record = site.record
    end = time.monotonic() + budget_s
    statuses = []
    for number in range(retries + 1):
        left_s = end - time.monotonic()
        if left_s <= 0.05:
            break
        status, headers, _ = send_job(
            record, nodes[number % len(nodes)], job, items, tokens, left_s,
            f"{name} {job}, attempt {number + 1}")
        statuses.append(status)
        if status == 202 or 400 <= status < 500 and status != 429:
            break
        left_s = end - time.monotonic()
        wait_s = float(headers.get("retry-after", 0.1))
        time.sleep(max(0, min(wait_s, left_s / 3)))
    return statuses


def read_job(site, node, job, after=0, wait_ms=1000, says=""):
    """Reads results from a position; returns (status, answer or None)."""
    status, _, text = call(
        site.record, node, "GET",
        f"/cardamompick/lots/{job}?after={after}", None,
        {"X-Wait-Ms": str(wait_ms)}, wait_ms / 1000 + 1.5, says)
    return status, json.loads(text) if status == 200 else None


def read_until(site, node, job, total, limit_s):
    """Reads a job about twice a second until all results are listed or the
    time is over; returns the results."""
    results = []
    end = time.monotonic() + limit_s
    while len(results) < total and time.monotonic() < end:
        status, answer = read_job(site, node, job, len(results))
        if status == 200:
            for result in answer["results"]:
                site.record.note(f"client: position {len(results)} of {job} "
                                 f"is {result['id']} {result['state']}, "
                                 f"{len(result['text'])} bytes")
                results.append(result)
        time.sleep(0.3)
    return results


def finish(site, is_held, text):
    """Ends a case: 0 if the rule held, 1 if it was broken."""
    site.record.note(("held: " if is_held else "broken: ") + text)
    print(("held: " if is_held else "broken: ") + text)
    site.close()
    sys.exit(0 if is_held else 1)


def give_up(site, text):
    """Ends a case that could not run."""
    site.record.note("could not run: " + text)
    print("could not run: " + text)
    site.close()
    sys.exit(2)


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"
