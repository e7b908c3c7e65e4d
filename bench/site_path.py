#!/usr/bin/env python3
"""End-to-end checks of a site on real processes.  A site is an installation
that is configured from outside and whose servers register themselves.

    bench/site_path.py BUILD_FOLDER [CHECK...]

Starts the substitutes of standins/site.py and three nodes.  Checks, by the
responses to callers and the requests that engines receive: streams, jobs,
hostile requests, a changed configuration, a draining server, an unavailable
store, a killed node and a planned stop.  Prints one line for each check and at
the end 'N passed, M failed'.  The arguments after the folder select checks by
function name.
"""
import base64
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
import importlib.util  # noqa: E402

from fleet import free_port  # noqa: E402

spec = importlib.util.spec_from_file_location(
    "site_standins", HERE.parent / "standins" / "site.py")
standins = importlib.util.module_from_spec(spec)
spec.loader.exec_module(standins)

WAIT_LIMIT_S = 15  # generous, because no check is about speed
HOST = {"Host": "desk.example"}


class Node:
    """A node of the site: its settings file, log and process."""

    def __init__(self, binary, name, zone, site, seeds, folder):
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
            "platform": {"kv": [f"127.0.0.1:{site.store.port}"]},
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


def all_results(node, job, n):
    """Returns the results of a job once there are n, or None."""
    def read():
        response = node.results(job)
        return response if response and len(response["results"]) == n else None
    return wait_for(read)


def check_stream(site, nodes):
    status, headers, body = nodes[0].stream("s1")
    return (status == 200 and body == expected_stream("s1") and
            headers["X-Response-Seal"] == "seal-s1")


def check_unknown(site, nodes):
    return (nodes[1].stream("u1", "/none/x")[0] == 404 and
            nodes[1].call("GET", "/cardamompick/lots/none")[0] == 404)


def check_job(site, nodes):
    items = [f"j1-{n}" for n in range(10)]
    accepted = [node.submit("j1", items) for node in nodes]
    answers = [all_results(node, "j1", 10) for node in nodes]
    if accepted != [202] * 3 or not all(answers):
        print("accepted", accepted, "read", [a is not None for a in answers])
        return False
    first = answers[0]["results"]
    return (all(a["results"] == first for a in answers) and
            {r["id"]: r["text"] for r in first} ==
            {item: expected_text(item) for item in items} and
            nodes[2].results("j1", 10)["results"] == [])


def check_input_and_end(site, nodes):
    nodes[0].submit("j2", [f"j2-{n}" for n in range(40)])
    body = nodes[1].call("GET", "/cardamompick/items/j2?id=j2-39")
    ended = [node.call("DELETE", "/cardamompick/lots/j2")[0]
             for node in (nodes[1], nodes[0])]
    time.sleep(3)
    before = sum(len(engine.runs) for engine in site.engines)
    time.sleep(1)
    after = sum(len(engine.runs) for engine in site.engines)
    return (body[0] == 200 and body[2] == b"j2-39" and ended == [200, 200]
            and before == after)


def send_bytes(node, head, body):
    """Sends a POST with a head of any bytes; returns the status line."""
    with socket.create_connection(("127.0.0.1", node.callers), 15) as caller:
        caller.sendall(b"POST " + head + b"\r\nHost: desk.example\r\n"
                       b"X-Attempt-Id: h1\r\n\r\n" + body)
        return caller.recv(4096).split(b"\r\n")[0]


def check_hostile_requests(site, nodes):
    """Requests that ended a node or were two to a server are refused."""
    length = b" HTTP/1.1\r\nContent-Length: 2"
    lines = [send_bytes(node, head, b"{}") for node in nodes for head in (
        b"/sheets/caf\xe9" + length, b"/sheets/a\tb" + length)]
    trailer = [send_bytes(node, b"/none HTTP/1.1\r\n"
                          b"Transfer-Encoding: chunked",
                          b"0\r\nX: y\r\n\r\n") for node in nodes]
    item = [node.call("POST", "/sheets/x", json.dumps({"items": [{
        "id": "a", "path": "/x HTTP/1.1\r\n\r\nGET /y", "body": ""}]}),
        {"X-Attempt-Id": "h2"}) for node in nodes]
    is_ok = (all(b" 400 " in line for line in lines) and
             all(b" 404 " in line for line in trailer) and
             all(a[0] == 400 and b"item 0, path" in a[2] for a in item))
    if not is_ok:
        print(lines, trailer, item)
    return is_ok and all(node.is_ready() for node in nodes)


def check_configuration(site, nodes):
    site.configure([{"name": "late", "host": "desk.example",
                     "prefix": "/late/", "kind": "streaming",
                     "timeoutMs": 8000, "targetLatencyMs": 300,
                     "service": "llm", "maxAttempts": 1}])
    return wait_for(lambda: all(node.stream("c1", "/late/x")[0] == 200
                                for node in nodes))


def check_draining_server(site, nodes):
    leaving = site.engines[0]
    site.register(leaving, "a", "draining")
    time.sleep(3)
    before = len(leaving.runs)
    served = [nodes[n % 3].stream(f"d{n}")[0] for n in range(20)]
    site.register(leaving, "a", "ready")
    return served == [200] * 20 and len(leaving.runs) == before


def check_unreadable_entry(site, nodes):
    site.store.put("servers/i-odd", b"\xff\xfe not JSON")
    time.sleep(2)
    served = [node.stream("o1")[0] for node in nodes]
    site.store.remove("servers/i-odd")
    return served == [200] * 3


def check_store_away(site, nodes):
    # The store refuses until the check ends the outage, so that it does not
    # return early on a slow machine.  The outage lasts longer than the leases,
    # so that they expire on a fast machine too.
    site.store.refuse_for(600)
    shortest = time.monotonic() + 4
    time.sleep(0.5)
    served = [nodes[n % 3].stream(f"a{n}")[0] for n in range(9)]
    refused = nodes[0].submit("j3", ["j3-0"])
    time.sleep(max(shortest - time.monotonic(), 0))
    site.store.refuse_for(0)
    accepted = wait_for(lambda: nodes[0].submit("j3", ["j3-0"]) == 202)
    return (served == [200] * 9 and refused in (503, 504) and accepted and
            all_results(nodes[1], "j3", 1) is not None)


def check_history_gone(site, nodes):
    site.store.clear_history()
    return check_configuration_again(site, nodes)


def check_configuration_again(site, nodes):
    site.configure([{"name": "later", "host": "desk.example",
                     "prefix": "/later/", "kind": "streaming",
                     "timeoutMs": 8000, "targetLatencyMs": 300,
                     "service": "llm", "maxAttempts": 1}])
    return wait_for(lambda: all(node.stream("c2", "/later/x")[0] == 200
                                for node in nodes))


def check_killed_runner(site, nodes):
    items = [f"j4-{n}" for n in range(30)]
    accepted = nodes[2].submit("j4", items)
    time.sleep(0.4)
    nodes[2].process.kill()
    nodes[2].process.wait()
    response = all_results(nodes[0], "j4", 30)
    nodes[2].start()
    again = wait_for(nodes[2].is_ready)
    return (accepted == 202 and response is not None and again and
            sorted(r["id"] for r in response["results"]) == sorted(items) and
            all(r["text"] == expected_text(r["id"])
                for r in response["results"])
            and all_results(nodes[2], "j4", 30) == response)


def check_planned_stop(site, nodes):
    import threading
    answers = []
    threads = [threading.Thread(
        target=lambda n=n: answers.append(nodes[1].stream(f"p{n}")))
        for n in range(5)]
    for thread in threads:
        thread.start()
    time.sleep(0.1)
    nodes[1].process.send_signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    code = nodes[1].process.wait(timeout=WAIT_LIMIT_S)
    return (code == 0 and len(answers) == 5 and
            all(a[0] == 200 and len(a[2]) > 100 for a in answers))


CHECKS = [check_stream, check_unknown, check_job, check_input_and_end,
          check_hostile_requests, check_configuration, check_draining_server,
          check_unreadable_entry, check_store_away, check_history_gone,
          check_killed_runner, check_planned_stop]


def main():
    only = sys.argv[2:]
    binary = str(pathlib.Path(sys.argv[1]) / "bin" / "cardamompick")
    site = standins.Site()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        seeds = [free_port()]
        nodes = [Node(binary, f"n{n + 1}", "ab"[n % 2], site, seeds, folder)
                 for n in range(3)]
        failed = []
        try:
            if not wait_for(lambda: all(node.is_ready() for node in nodes)):
                failed.append("start")
            time.sleep(2.5)  # owners grant only the provisional limit at first
            chosen = [c for c in CHECKS if not only or c.__name__ in only]
            for check in chosen if not failed else []:
                is_ok = bool(check(site, nodes))
                print(f"{check.__name__}: {'ok' if is_ok else 'FAILED'}",
                      flush=True)
                if not is_ok:
                    failed.append(check.__name__)
        finally:
            for node in nodes:
                node.process.kill()
                node.process.wait()
            if failed:
                for node in nodes:
                    print(f"--- {node.path.stem}")
                    log = node.path.with_suffix(".log").read_text(
                        errors="replace")
                    print("\n".join(log.splitlines()[-60:]))
        print(f"{len(chosen) - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


main()
