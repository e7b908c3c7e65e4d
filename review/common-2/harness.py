"""Processes and stand-ins for the scripts of the second review.

    site = Site()                      # store stand-in and a configuration
    site.add_engine("a", Engine(...))  # starts and registers a server
    nodes = start_nodes(site)          # the deploy file's roles, on loopback
    record("text")                     # adds a line to record.txt
    finish(code)                       # ends the processes and exits

The store is the project's stand-in (standins/site.py).  The nodes run the
command of deploy/system.toml with settings rendered from its template.  All
addresses are loopback addresses with free ports.
"""
import atexit
import base64
import http.client
import importlib.util
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
CASE = pathlib.Path(sys.argv[0]).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
REGIONS = {"a": "north", "b": "north", "c": "south"}

_spec = importlib.util.spec_from_file_location(
    "site_standins", ROOT / "standins" / "site.py")
_standins = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(_standins)


class Store(_standins.Store):
    """The store stand-in with pages of 500 items or 1 MB at most."""

    def _range(self, query):
        keys = sorted(k for k in self.items if k.startswith(query["prefix"])
                      and k > query.get("after", ""))
        page, size = [], 0
        for key in keys:
            size += len(self.items[key]["value"])
            if page and (size > 1000000 or len(page) == 500):
                break
            page.append(self.items[key])
        return 200, {"items": page, "truncated": len(page) < len(keys),
                     "currentRev": self.revision}


_start = time.monotonic()
_folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
_processes = []
_record = open(CASE / "record.txt", "w", encoding="utf-8")
_record_lock = threading.Lock()


def now():
    return time.monotonic() - _start


def record(text):
    with _record_lock:
        _record.write(f"{now():8.3f} s  {text}\n")
        _record.flush()


def finish(code, why):
    """Ends every process, records the verdict and exits: 0 the rule held, 1
    it was broken, 2 the case could not run."""
    record(f"exit {code}: {why}")
    print(f"exit {code}: {why}", flush=True)
    _end_all()
    os._exit(code)


def _end_all():
    for process in _processes:
        if process.poll() is None:
            process.kill()
            process.wait()
    _processes.clear()
    shutil.rmtree(_folder, ignore_errors=True)


def _on_alarm(*_):
    finish(2, "the script took longer than 115 s")


atexit.register(_end_all)
signal.signal(signal.SIGALRM, _on_alarm)
signal.signal(signal.SIGTERM, lambda *_: finish(2, "ended from outside"))
signal.alarm(115)


_ports = set()


def free_port():
    """Returns a free port below the range that the kernel gives to outgoing
    channels, so that a process finds it free again after a restart."""
    while True:
        port = random.randrange(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _ports:
            _ports.add(port)
            return port


def wait_for(poll, limit_s=15.0):
    """Returns the first true value of poll(), or None after limit_s."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        value = poll()
        if value:
            return value
        time.sleep(0.05)
    return None


# ---- the deploy file's template ----

def _find(names, scopes):
    if names == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for name in names.split("."):
            if isinstance(value, dict) and name in value:
                value = value[name]
            elif isinstance(value, list) and name.isdigit() and \
                    int(name) < len(value):
                value = value[int(name)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def _text(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(_text(v) for v in value)
    if isinstance(value, bool):
        return "true" if value else "false"
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, scopes):
    """Fills in a settings template as DEPLOY.md tells."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def one_section(match):
        value = _find(match[2], scopes)
        if match[1] == "^":
            return render(match[3], scopes) if not value else ""
        if isinstance(value, list):
            return "".join(render(match[3], scopes + [v]) for v in value)
        return render(match[3], scopes + [value]) if value else ""

    def one_value(match):
        value = _find(match[1], scopes)
        return json.dumps(value) if match[2] else _text(value)

    template = section.sub(one_section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", one_value, template)


# ---- nodes ----

class Node:
    """A machine with one role of the deploy file."""

    def __init__(self, name, role, zone, site, seeds, far_port=None):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.name = name
        self.role = deploy["roles"][role]
        control = seeds[0] if name == "front-1" else free_port()
        self.front = free_port()
        self.ready = free_port()
        first_port = free_port()
        listen = {"control": f"127.0.0.1:{control}"}
        if role == "front":
            listen["front"] = f"127.0.0.1:{self.front}"
            listen["ready"] = f"127.0.0.1:{self.ready}"
        store_port = site.store.port
        if REGIONS[zone] != "north" and far_port is not None:
            store_port = far_port
        values = {
            "nodeName": name, "zone": zone, "region": REGIONS[zone],
            "ip": "127.0.0.1", "listen": listen,
            "seeds": [f"127.0.0.1:{port}" for port in seeds],
            "portRange": [first_port, first_port], "bootstrap": True,
            "zones": REGIONS,
            "limits": {"cpuShare": 0.25 if role == "front" else 0.5,
                       "cores": 1},
            "bounds": {},
            "platform": {"address": f"127.0.0.1:{store_port}",
                         "valueBytes": 1048576},
        }
        self.values = values
        # One address for all machines: the metrics port must differ.
        self.metrics = free_port()
        self.settings = _folder / f"{name}.json"
        self.log = open(_folder / f"{name}.log", "ab")
        self.start()

    def start(self):
        """Starts the process; at a later start `bootstrap` is false."""
        text = (ROOT / self.role["template"]).read_text()
        text = render(text, [self.values]).replace(":9464", f":{self.metrics}")
        self.settings.write_text(text)
        self.values["bootstrap"] = False
        words = self.role["run"].split()
        self.process = subprocess.Popen(
            [str(ROOT / words[0])] + words[1:], cwd=ROOT, stdout=self.log,
            stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": str(_folder),
                 "CARDAMOMPICK_SETTINGS": str(self.settings)})
        _processes.append(self.process)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.ready,
                                                    timeout=2)
            connection.request("GET", "/cardamompick/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def call(self, method, path, body=None, headers=None, timeout=8):
        """One client attempt on a channel of its own: status, headers, body;
        status 0 without an answer."""
        connection = http.client.HTTPConnection("127.0.0.1", self.front,
                                                timeout=timeout)
        try:
            connection.request(method, path, body,
                               {"Host": HOST, **(headers or {})})
            answer = connection.getresponse()
            return answer.status, answer.headers, answer.read()
        except (OSError, http.client.HTTPException) as fault:
            return 0, {}, repr(fault).encode()
        finally:
            connection.close()

    def submit(self, job, path, items):
        status = self.call("POST", path, json.dumps({"items": items}),
                           {"X-Attempt-Id": job,
                            "Content-Type": "application/json"})[0]
        record(f"{self.name}: batch job {job}, {len(items)} items, POST "
               f"{path[:60]} -> {status}")
        return status

    def results(self, job, after=0):
        status, _, body = self.call(
            "GET", f"/cardamompick/lots/{job}?after={after}", None,
            {"X-Wait-Ms": "500"})
        return json.loads(body) if status == 200 else None


def make_item(name, path, tokens=120):
    return {"id": name, "path": path, "headers": {
        "X-Model": "m", "X-Token-Counts": "100,20",
        "X-Prompt-Prefix": f"5c1e07a2:60,{zlib.crc32(name.encode()):08x}:40"},
        "tokens": tokens,
        "body": base64.b64encode(name.encode()).decode()}


# ---- servers ----

class Engine:
    """A model server that streams and resumes, as PROTOCOL.md tells.  The
    members say how it behaves; a subclass may override answer()."""

    def __init__(self, events=12, interval_s=0.02):
        self.name = None
        self.events = events
        self.interval_s = interval_s
        self.is_down = False
        self.runs = []      # (time, id, after, target)
        self.malformed = []  # request lines that are no HTTP request
        self.open = set()   # ids of requests at work
        self.lock = threading.Lock()
        self.listen(0)

    def listen(self, port):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", port))
        self.socket.listen(64)
        self.port = self.socket.getsockname()[1]
        threading.Thread(target=self.accept, args=(self.socket,),
                         daemon=True).start()

    def crash(self):
        """Ends at once: its port has no listener, its channels close."""
        self.is_down = True
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def accept(self, listener):
        while True:
            try:
                channel, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(channel,),
                             daemon=True).start()

    def serve(self, channel):
        channel.settimeout(30)
        try:
            self.serve_one(channel)
        except OSError:
            pass  # the caller has closed
        finally:
            channel.close()

    def read_request(self, channel):
        data = b""
        while b"\r\n\r\n" not in data:
            more = channel.recv(65536)
            if not more:
                return None
            data += more
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(b":")
            headers[name.strip().lower().decode()] = value.strip().decode()
        while len(body) < int(headers.get("content-length", 0)):
            body += channel.recv(65536)
        return lines[0], headers, body

    def serve_one(self, channel):
        request = self.read_request(channel)
        if request is None or self.is_down:
            return
        line, headers, body = request
        words = line.split(b" ")
        request_id = headers.get("x-attempt-id", "")
        if len(words) != 3 or words[2] not in (b"HTTP/1.1", b"HTTP/1.0") or \
                b"\0" in line:
            with self.lock:
                self.malformed.append(line)
            channel.sendall(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0"
                            b"\r\nX-Not-Executed: 1\r\nConnection: close"
                            b"\r\n\r\n")
            return
        if headers.get("x-expect-instance", self.name) != self.name:
            channel.sendall(f"HTTP/1.1 421 Misdirected Request\r\n"
                            f"X-Instance-Id: {self.name}\r\n"
                            f"Content-Length: 0\r\n\r\n".encode())
            return
        after = int(headers.get("last-event-id", 0) or 0)
        with self.lock:
            self.runs.append((now(), request_id, after, words[1].decode()))
            self.open.add(request_id)
        try:
            self.answer(channel, words[0].decode(), request_id, after)
        finally:
            with self.lock:
                self.open.discard(request_id)

    def head(self, request_id, lines, status="200 OK"):
        return (f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request_id}\r\n"
                f"X-Response-Seal: seal.{request_id}\r\n{lines}\r\n").encode()

    def event(self, request_id, number):
        return f"id: {number}\ndata: {request_id}.{number}\n\n".encode()

    def answer(self, channel, method, request_id, after):
        channel.sendall(self.head(
            request_id, "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n"))
        for number in range(after + 1, self.events + 1):
            time.sleep(self.interval_s)
            if self.is_down:
                return
            event = self.event(request_id, number)
            channel.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        channel.sendall(b"0\r\n\r\n")

    def whole_output(self, item):
        return "\n".join(f"{item}.{n}" for n in range(1, self.events + 1))


class PlainServer(Engine):
    """A server of a plain service: one short body for each request."""

    def body(self, request_id):
        return f"answer to {request_id} by {self.name}\n".encode()

    def answer(self, channel, method, request_id, after):
        body = self.body(request_id)
        head = self.head(request_id, "Content-Type: text/plain\r\n"
                         f"Content-Length: {len(body)}\r\n")
        channel.sendall(head if method == "HEAD" else head + body)


class Site:
    """The platform's store with a configuration and registered servers."""

    def __init__(self):
        self.store = Store()
        self.engines = []
        self.version = 4
        self.routes = [
            {"name": "ask", "host": HOST, "prefix": "/ask/",
             "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300,
             "priority": 0, "service": "llm", "maxAttempts": 2,
             "sticky": True, "resumable": True, "gapTargetMs": 300},
            {"name": "sheets", "host": HOST, "prefix": "/sheets/",
             "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400,
             "completionTargetMs": 18000, "retentionS": 60,
             "maxAttempts": 3, "priority": 2, "service": "llm",
             "maxCount": 1800000}]
        self.services = ["llm"]
        threading.Thread(target=self.beat, daemon=True).start()

    def add_engine(self, zone, engine, service="llm"):
        engine.name = f"i-{len(self.engines) + 1:08x}"
        self.engines.append((zone, engine, service, int(time.time() * 1000)))
        self.put_entry(*self.engines[-1], 1)

    def put_entry(self, zone, engine, service, born, seq):
        self.store.put(f"servers/{engine.name}", {
            "service": service, "address": f"127.0.0.1:{engine.port}",
            "zone": zone, "version": "v1", "slots": 8, "state": "ready",
            "coldLeftMs": 0, "stage": "mixed",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": seq, "born": born})

    def beat(self):
        """Each server writes its entry every 1.2 s; the entry of one that
        crashed is removed after three of these intervals."""
        seq = 1
        missed = {}
        while True:
            time.sleep(1.2)
            seq += 1
            for entry in list(self.engines):
                engine = entry[1]
                if not engine.is_down:
                    self.put_entry(*entry, seq)
                    continue
                missed[engine.name] = missed.get(engine.name, 0) + 1
                if missed[engine.name] == 3:
                    self.store.remove(f"servers/{engine.name}")

    def configure(self, more_routes=(), without=()):
        """Writes the next configuration; returns when the store has it."""
        self.version += 3
        routes = [r for r in self.routes if r["name"] not in without]
        self.store.put("op/config", {
            "version": self.version, "routes": routes + list(more_routes),
            "services": [{"name": name, "healthPath": "/health",
                          "maxConns": 180, "protocol": "h1", "tls": False,
                          "engine": {"slots": 8, "kvCapacity": 101495}}
                         for name in self.services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        record(f"operator: version {self.version} written and acknowledged, "
               f"routes {[(r['prefix'], r['kind']) for r in routes] + [(r['prefix'], r['kind']) for r in more_routes]}")


def record_runs(site):
    """Adds what the servers ran, and what they got that is no request."""
    for _, engine, service, _ in site.engines:
        for at_s, request_id, after, target in list(engine.runs):
            record(f"run at {at_s:.3f} s: server {engine.name} of {service}, "
                   f"{request_id} after event {after}, {target[:60]}")
        for line in list(engine.malformed)[:5]:
            record(f"server {engine.name} got no HTTP request, "
                   f"{len(engine.malformed)} times in all: {line[:40]!r} ... "
                   f"{line[-40:]!r}")


def start_nodes(site, fronts=2, stores=2, far_port=None):
    """Starts the fronts and the store machines, over two zones; returns the
    fronts and the stores once the fronts are ready."""
    if not (ROOT / "target/bin/cardamompick").exists():
        finish(2, "target/bin/cardamompick is not built")
    seeds = [free_port()]
    zones = "ab" if far_port is None else "abc"
    made = [Node(f"front-{n + 1}", "front", zones[n % len(zones)], site,
                 seeds, far_port) for n in range(fronts)]
    kept = [Node(f"store-{n + 1}", "store", zones[n % len(zones)], site,
                 seeds, far_port) for n in range(stores)]
    if not wait_for(lambda: all(n.is_ready() for n in made), 20):
        finish(2, "the nodes did not become ready")
    time.sleep(4)  # stableWindowMs
    record(f"{fronts} front and {stores} store machines run and are ready")
    return made, kept
