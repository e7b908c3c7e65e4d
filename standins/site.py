"""Test substitutes for the services around a site: its metadata store and
its engines.  A site is an installation that is configured from outside and
whose servers register themselves.

    site = Site(zones=["a", "b"])        # starts both on free loopback ports
    site.store.put("op/config", {...})   # writes as the operator does
    site.store.refuse_for(3)             # 503 to all calls
    site.add_server("a", 0.02)           # starts and registers an engine
    site.engines[0].runs                 # the requests that it has run

Only the calls that the system makes are implemented.  An engine streams
EVENTS events for each request; a request with Last-Event-Id resumes after
that event.
"""
import base64
import json
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

EVENTS = 12
HISTORY_EVENTS = 500


class Store:
    """The metadata store: keys with revisions, transactions, leases, watches.

    Methods without an underscore may be called from any thread; the others
    need self.lock.
    """

    def __init__(self):
        self.lock = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.next_lease = 1000
        self.refused_until_s = 0
        self.calls = 0
        store = self

        class Handler(JsonHandler):
            def answer(self, method, path, query, body):
                return store.answer(method, path, query, body)

        self.server, self.port = serve(Handler)

    def put(self, key, value, lease=0):
        """Stores bytes as they are and any other value as JSON."""
        text = (value if isinstance(value, bytes)
                else json.dumps(value).encode())
        with self.lock:
            self.revision += 1
            self._put(key, base64.b64encode(text).decode(), lease)

    def remove(self, key):
        with self.lock:
            self.revision += 1
            self._remove(key)

    def value(self, key):
        """Returns the value of a key as bytes, or None."""
        with self.lock:
            item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def refuse_for(self, seconds):
        """Answers all calls with 503 for some seconds; 0 ends it."""
        self.refused_until_s = time.monotonic() + seconds

    def clear_history(self):
        """Drops all events, so that watches on old revisions get 410."""
        with self.lock:
            self.history = []

    def _record_event(self, event):
        self.history = (self.history + [event])[-HISTORY_EVENTS:]
        self.lock.notify_all()

    def _put(self, key, value, lease):
        old = self.items.get(key)
        item = {"key": key, "value": value, "revision": self.revision,
                "createRev": old["createRev"] if old else self.revision,
                "lease": lease}
        self.items[key] = item
        self._record_event(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self._record_event({"key": key, "revision": self.revision,
                                "tombstone": True})

    def _expire_leases(self):
        """Removes the leases whose time is over, and their keys."""
        now = time.monotonic()
        for lease in [l for l, (_, end) in self.leases.items() if end < now]:
            del self.leases[lease]
            self.revision += 1
            for key in [k for k, i in self.items.items()
                        if i["lease"] == lease]:
                self._remove(key)

    def answer(self, method, path, query, body):
        """Runs one call; returns the HTTP status and the JSON body."""
        with self.lock:
            self.calls += 1
            if time.monotonic() < self.refused_until_s:
                return 503, {}
            self._expire_leases()
            name = path.removeprefix("/cardamompick/")
            if name == "kv-key":
                item = self.items.get(query["key"])
                return (404, {}) if item is None else (
                    200, {**item, "currentRev": self.revision})
            if name == "kv-range":
                return self._range(query)
            if name == "kv-watch":
                return self._watch(query)
            if name == "kv-txn":
                return self._txn(body)
            return self._lease(method, name, body)

    def _range(self, query):
        keys = sorted(k for k in self.items if k.startswith(query["prefix"])
                      and k > query.get("after", ""))
        return 200, {"items": [self.items[k] for k in keys[:100]],
                     "truncated": len(keys) > 100,
                     "currentRev": self.revision}

    def _watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        if self.history and after + 1 < self.history[0]["revision"]:
            return 410, {}
        if not self.history and after < self.revision:
            return 410, {}
        while True:
            events = [e for e in self.history if e["revision"] > after
                      and e["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            self.lock.wait(min(left, 0.2))
            self._expire_leases()

    def _txn(self, body):
        now = [self.items.get(row["key"]) for row in body["expectedRev"]]
        for row, item in zip(body["expectedRev"], now):
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [
                    i or {"key": r["key"], "revision": 0}
                    for r, i in zip(body["expectedRev"], now)]}
        for row in body["setKeys"]:
            lease = row.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        names = [row["key"] for row in body["setKeys"]] + body["remove"]
        if any(name.startswith(("op/", "servers/")) for name in names):
            return 403, {}
        self.revision += 1  # all changes of a transaction share one
        for row in body["setKeys"]:
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in body["remove"]:
            self._remove(key)
        return 200, {"revision": self.revision}

    def _lease(self, method, name, body):
        if name == "kv-lease":
            self.next_lease += 1
            ttl = max(body["ttlMs"], 1000)
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        call, number = name.split("/")
        lease = int(number)
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        if call == "kv-keep":
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        else:
            self.leases[lease] = (ttl, 0)
            self._expire_leases()
        return 200, {"ttlMs": ttl}


class Engine:
    """A model server that streams and resumes, and records its requests.

    It sends an event every `event_interval_s` seconds.
    """

    def __init__(self, name, event_interval_s):
        self.name = name
        self.event_interval_s = event_interval_s
        self.runs = []  # (request id, after, path, body)
        self.lock = threading.Lock()
        engine = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                engine.serve(self)

            def log_message(self, *args):
                pass

        self.server, self.port = serve(Handler)

    def serve(self, http):
        length = int(http.headers.get("content-length", 0))
        body = http.rfile.read(length)
        request_id = http.headers["X-Attempt-Id"]
        if http.headers.get("X-Expect-Instance") != self.name:
            http.send_response(421)
            http.send_header("X-Instance-Id", self.name)
            http.send_header("Content-Length", "0")
            http.end_headers()
            return
        after = int(http.headers.get("Last-Event-Id", 0))
        with self.lock:
            self.runs.append((request_id, after, http.path, body))
        http.send_response(200)
        http.send_header("X-Attempt-Id", request_id)
        http.send_header("X-Response-Seal", "seal-" + request_id)
        http.send_header("Content-Type", "text/event-stream")
        http.send_header("Transfer-Encoding", "chunked")
        http.end_headers()
        try:
            for number in range(after + 1, EVENTS + 1):
                time.sleep(self.event_interval_s)
                event = f"id: {number}\ndata: {request_id}.{number}\n\n"
                http.wfile.write(b"%x\r\n%s\r\n" % (len(event),
                                                    event.encode()))
                http.wfile.flush()
            http.wfile.write(b"0\r\n\r\n")
        except OSError:
            pass  # the caller has disconnected
        http.close_connection = True


class JsonHandler(BaseHTTPRequestHandler):
    """Parses requests and sends what the subclass's answer() returns."""

    protocol_version = "HTTP/1.1"

    def _do(self, method):
        parts = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        length = int(self.headers.get("content-length", 0))
        body = json.loads(self.rfile.read(length)) if length else None
        status, answer = self.answer(method, parts.path, query, body)
        text = json.dumps(answer).encode()
        try:
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)
        except OSError:
            pass  # the caller has disconnected

    def do_GET(self):
        self._do("GET")

    def do_POST(self):
        self._do("POST")

    def do_DELETE(self):
        self._do("DELETE")

    def log_message(self, *args):
        pass


def serve(handler):
    """Starts a server on a free loopback port; returns (server, port)."""
    ThreadingHTTPServer.daemon_threads = True
    ThreadingHTTPServer.request_queue_size = 128
    server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, server.server_address[1]


class Site:
    """A store that holds a configuration, and engines registered in it."""

    def __init__(self, n_engines=3, event_interval_s=0.02, zones=("a", "b")):
        self.store = Store()
        self.engines = []
        self.ports = {}  # of engines that are reached at another one
        self.version = 0
        for number in range(n_engines):
            self.add_server(zones[number % len(zones)], event_interval_s)
        self.configure([])

    def add_server(self, zone, event_interval_s):
        engine = Engine(f"i-{len(self.engines)}", event_interval_s)
        self.engines.append(engine)
        self.register(engine, zone, "ready")

    def register(self, engine, zone, state):
        """Writes an engine's entry; the state is "ready" or "draining"."""
        port = self.ports.get(engine.name, engine.port)
        self.store.put(f"servers/{engine.name}", {
            "service": "llm", "address": f"127.0.0.1:{port}",
            "zone": zone, "slots": 8, "state": state, "seq": 1, "born": 1})

    def configure(self, more_routes):
        """Writes a new configuration: two fixed routes and the given ones."""
        self.version += 3
        route = {"name": "ask", "host": "desk.example", "prefix": "/ask/",
                 "kind": "streaming", "timeoutMs": 8000,
                 "targetLatencyMs": 300, "priority": 0, "service": "llm",
                 "maxAttempts": 2, "sticky": True, "resumable": True,
                 "gapTargetMs": 300}
        batch = {"name": "sheets", "host": "desk.example",
                 "prefix": "/sheets/", "kind": "batch", "service": "llm",
                 "targetLatencyMs": 400, "completionTargetMs": 18000,
                 "maxAttempts": 3, "retentionS": 60, "priority": 2,
                 "maxCount": 0}
        self.store.put("op/config", {
            "version": self.version, "routes": [route, batch] + more_routes,
            "services": [{"name": "llm", "engine": {"slots": 8,
                                                    "kvCapacity": 100000}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
