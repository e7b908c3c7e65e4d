"""`make demo`: runs online requests, a batch job and a planned stop on a small
fleet on this machine, and prints each step.
"""

import json
import sys
import time

from fleet import Fleet, request

JOB_ITEMS = 200
JOB_WAIT_S = 60


def print_title(title):
    print(f"\n== {title}", flush=True)


def build_fleet(fleet):
    fleet.start_platform()
    fleet.add_operator("kit-desk")
    fleet.add_operator("admin", ["admin-read", "admin-trial",
                                 "admin-production"])
    fleet.add_deployment("desk", model="lantern-7b")
    fleet.add_service("stock", [{"method": "GET", "prefix": "/",
                                 "idempotent": True}])
    for i, zone in enumerate(["etela-a", "etela-a", "etela-b", "etela-b"]):
        fleet.add_server(f"engine-{i + 1}", zone, "desk", slots=16,
                         first_token_us=40000, inter_token_us=5000)
    fleet.add_server("stock-1", "etela-a", "stock", first_token_us=2000)
    fleet.batch = {"shard_items": 50}
    fleet.bootstrap()
    for name, zone in [("n1", "etela-a"), ("n2", "etela-b"),
                       ("n3", "etela-a")]:
        fleet.add_node(name, zone)
    fleet.start_nodes()


def headers(fleet):
    return {"authorization": "Bearer " + fleet.key("kit-desk"),
            "content-type": "application/json"}


def chat(content, stream, tokens=8):
    return {"model": "lantern-7b", "stream": stream, "max_tokens": tokens,
            "messages": [{"role": "user", "content": content}]}


def show_online(fleet):
    """Returns the trace id of the streamed request."""
    print_title("an online request, not streamed")
    status, response_headers, body = request(
        fleet.nodes[0].http, "POST", "/v1/chat/completions",
        chat("How tall is the lantern pole?", False), headers(fleet))
    print(status, body.decode())
    assert status == 200, "the complete response"
    print_title("an online request, streamed")
    status, response_headers, body = request(
        fleet.nodes[1].http, "POST", "/v1/chat/completions",
        chat("Which glue holds paper on willow?", True), headers(fleet))
    print(status, body.decode())
    assert status == 200 and b"[DONE]" in body, "the streamed response"
    print_title("a call to a plain service")
    status, _, body = request(fleet.nodes[2].http, "GET",
                              "/services/stock/kits/7",
                              headers=headers(fleet))
    print(status, body.decode())
    assert status == 200, "the plain service"
    return response_headers["traceparent"].split("-")[1]


def job_lines():
    """Yields the lines of the job's input file."""
    for i in range(JOB_ITEMS):
        content = f"Assembly sheet {i}"
        if i in (17, 111):
            content = f"CANNOT-BE-DONE {i}"
        yield json.dumps({"custom_id": f"sheet-{i}", "method": "POST",
                          "url": "/v1/chat/completions",
                          "body": chat(content, False)})


def batch(fleet, *arguments):
    """Prints and runs a `cardamomctl batch` command; returns its output."""
    print("$ cardamomctl batch", *arguments)
    done = fleet.ctl("batch", *arguments, "--node", fleet.nodes[0].url,
                     "--token", fleet.key("kit-desk"), timeout=JOB_WAIT_S)
    return done.stdout


def custom_ids(path):
    return [json.loads(line)["custom_id"]
            for line in path.read_text().splitlines()]


def show_batch(fleet):
    print_title(f"a batch job of {JOB_ITEMS} items, two of which must fail")
    (fleet.folder / "sheets.jsonl").write_text("\n".join(job_lines()) + "\n")
    response = batch(fleet, "submit", "sheets.jsonl", "--key", "demo-1",
                     "--wait", "--json")
    job = json.loads(response[response.index("{"):])
    print(json.dumps(job, indent=1))
    assert job["status"] == "completed", "the job's final state"
    batch(fleet, "results", job["id"], "--output", "done.jsonl", "--errors",
          "failed.jsonl")
    done = custom_ids(fleet.folder / "done.jsonl")
    failed = custom_ids(fleet.folder / "failed.jsonl")
    first = (fleet.folder / "done.jsonl").read_text().splitlines()[0]
    print(f"results: {len(done)} lines, the first: {first}")
    print((fleet.folder / "failed.jsonl").read_text())
    assert len(set(done)) == len(done) == JOB_ITEMS - 2, "one result each"
    assert sorted(failed) == ["sheet-111", "sheet-17"], "the two failed items"


def show_trace(fleet, trace_id):
    print_title("the streamed request's trace")
    files = sorted((fleet.folder / "traces").glob("*.jsonl"))
    done = fleet.ctl("trace", trace_id, *files)
    print(done.stdout)


def stop_gracefully(fleet):
    print_title("a planned stop of every node")
    for node in fleet.nodes:
        node.process.terminate()
    codes = [node.process.wait(60) for node in fleet.nodes]
    print("exit codes:", codes)
    assert codes == [0, 0, 0], "exit codes of the planned stops"


def main():
    start = time.monotonic()
    with Fleet(seed=7) as fleet:
        print_title("starting stand-ins and three nodes in two zones")
        build_fleet(fleet)
        trace_id = show_online(fleet)
        show_batch(fleet)
        print_title("the system as node n1 sees it")
        done = fleet.ctl("status", "--node", fleet.nodes[0].url, "--token",
                         fleet.key("admin"))
        print(done.stdout)
        stop_gracefully(fleet)
        show_trace(fleet, trace_id)
    print(f"demo: ok in {time.monotonic() - start:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
