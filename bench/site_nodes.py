"""Nodes of a site as real processes, and what the engines of the substitutes
in standins/site.py answer.  A site is an installation that is configured from
outside and whose servers register themselves.

    site = standins.Site()
    node = Node(binary, "n1", "a", site, seeds, folder)   # starts it
    status, headers, body = node.stream("request-1")
    node.process.send_signal(signal.SIGTERM)
"""
import base64
import http.client
import importlib.util
import json
import pathlib
import subprocess
import time

from fleet import free_port

HERE = pathlib.Path(__file__).resolve().parent
spec = importlib.util.spec_from_file_location(
    "site_standins", HERE.parent / "standins" / "site.py")
standins = importlib.util.module_from_spec(spec)
spec.loader.exec_module(standins)

WAIT_LIMIT_S = 15  # generous, because no check is about speed
HOST = {"Host": "desk.example"}


class Node:
    """A node of the site: its settings file, log and process.  It reaches the
    store at `store_port`, or directly."""

    def __init__(self, binary, name, zone, site, seeds, folder,
                 store_port=None):
        self.callers = free_port()
        self.probes = free_port()
        self.control = seeds[0] if name == "n1" else free_port()
        self.path = folder / f"{name}.json"
        self.log = open(folder / f"{name}.log", "ab")
        self.binary = binary
        self.path.write_text(json.dumps({
            "name": name, "zone": zone, "source": "127.0.0.1",
            "control": f"127.0.0.1:{self.control}",
            "seeds": [f"127.0.0.1:{port}" for port in seeds],
            "platform": {
                "kv": [f"127.0.0.1:{store_port or site.store.port}"]},
            "drain_ms": 8000,
            "site": {"callers": f"127.0.0.1:{self.callers}",
                     "probes": f"127.0.0.1:{self.probes}",
                     "jobs": f"127.0.0.1:{free_port()}", "watchers": 1,
                     "zones": {"a": "north", "b": "north"}}}))
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [self.binary, "--settings", str(self.path)], stdout=self.log,
            stderr=self.log)

    def call(self, method, path, body=None, headers=None, port=None):
        """Returns status, headers and body; status 0 without a response."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", port or self.callers, timeout=15)
        try:
            connection.request(method, path, body, {**HOST, **(headers or {})})
            response = connection.getresponse()
            return response.status, response.headers, response.read()
        except (OSError, http.client.HTTPException):
            return 0, {}, b""
        finally:
            connection.close()

    def is_ready(self):
        return self.call("GET", "/cardamompick/readyz",
                         port=self.probes)[0] == 200

    def stream(self, request_id, path="/ask/x"):
        """Sends a streaming request; returns status, headers and body."""
        return self.call("POST", path, b"question",
                         {"X-Attempt-Id": request_id, "X-Model": "m",
                          "X-Token-Counts": "10,20", "X-Deadline-Ms": "6000"})

    def submit(self, job, items):
        """Submits a batch job; returns the status."""
        body = {"items": [{
            "id": item, "path": f"/sheets/{item}",
            "headers": {"X-Model": "m"}, "tokens": 100,
            "body": base64.b64encode(item.encode()).decode()}
            for item in items]}
        return self.call("POST", "/sheets/new", json.dumps(body),
                         {"X-Attempt-Id": job,
                          "Content-Type": "application/json"})[0]

    def results(self, job, after=0):
        """Returns the results after a number as JSON, or None."""
        status, _, body = self.call(
            "GET", f"/cardamompick/lots/{job}?after={after}", None,
            {"X-Wait-Ms": "500"})
        return json.loads(body) if status == 200 else None


def wait_for(poll):
    """Returns the first true value of poll(), or None after WAIT_LIMIT_S."""
    end = time.monotonic() + WAIT_LIMIT_S
    while time.monotonic() < end:
        value = poll()
        if value:
            return value
        time.sleep(0.05)
    return None


def expected_stream(request_id):
    return "".join(f"id: {n}\ndata: {request_id}.{n}\n\n"
                   for n in range(1, standins.EVENTS + 1)).encode()


def expected_text(item):
    return "\n".join(f"{item}.{n}" for n in range(1, standins.EVENTS + 1))
