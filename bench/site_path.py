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
import json
import pathlib
import signal
import socket
import sys
import tempfile
import time

from fleet import free_port
from site_nodes import (WAIT_LIMIT_S, Node, expected_stream, expected_text,
                        standins, wait_for)


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
