"""Batch jobs: submit, poll, read the results, and check them."""

import json
import time

from fleet import request

END_STATES = ("completed", "failed", "expired", "cancelled")


def chat_body(content, tokens, stream=False):
    return {"model": "desk-model", "max_tokens": tokens, "stream": stream,
            "messages": [{"role": "user", "content": content}]}


def item(custom_id, content, tokens):
    return {"custom_id": custom_id, "method": "POST",
            "url": "/v1/chat/completions", "body": chat_body(content, tokens)}


def service_item(custom_id, path, body):
    return {"custom_id": custom_id, "method": "POST", "url": path,
            "body": body}


class Job:
    """A batch job.  Calls use the nodes in turn, as a load balancer would.

    `state` is the job object that the last call returned.
    """

    def __init__(self, fleet, items, name, operator="batch-desk"):
        self.fleet = fleet
        self.items = items
        self.name = name
        self.operator = operator
        self.file_id = None
        self.id = None
        self.state = {}

    def call(self, method, path, body=None, seconds=30, **headers):
        """Repeats the request until it succeeds; returns the body as bytes.

        Raises RuntimeError after `seconds`, or at once on a 4xx status that a
        repetition does not help against.
        """
        end = time.monotonic() + seconds
        attempt = 0
        last_error = "no node"
        while time.monotonic() < end:
            nodes = [n for n in self.fleet.nodes
                     if n.process and n.process.is_running()]
            attempt += 1
            if not nodes:
                time.sleep(0.1)
                continue
            node = nodes[attempt % len(nodes)]
            try:
                status, _, response = request(
                    node.http, method, path, body,
                    {"authorization": "Bearer " +
                     self.fleet.key(self.operator),
                     "content-type": "application/json", **headers},
                    timeout=10)
            except OSError as failure:
                last_error = str(failure)
                time.sleep(0.1)
                continue
            if status < 300:
                return response
            last_error = f"{status} {response.decode()[:300]}"
            if 400 <= status < 500 and status not in (404, 408, 429):
                raise RuntimeError(f"{method} {path}: {last_error}")
            time.sleep(0.1)
        raise RuntimeError(f"{method} {path}: {last_error}")

    def upload(self):
        text = "".join(json.dumps(i) + "\n" for i in self.items)
        file = json.loads(self.call(
            "POST", f"/v1/files?purpose=batch&filename={self.name}.jsonl",
            text, **{"content-type": "application/jsonl"}))
        self.file_id = file["id"]

    def submit(self):
        """Uploads the items and creates the job.  The job's name is the
        idempotency key.
        """
        self.upload()
        return self.create()

    def create(self):
        self.state = json.loads(self.call(
            "POST", "/v1/batches",
            {"input_file_id": self.file_id, "endpoint": "/v1/chat/completions",
             "completion_window": "24h"}, **{"idempotency-key": self.name}))
        self.id = self.state["id"]
        return self.state

    def get(self):
        self.state = json.loads(self.call("GET", f"/v1/batches/{self.id}"))
        return self.state

    def cancel(self):
        self.state = json.loads(self.call(
            "POST", f"/v1/batches/{self.id}/cancel", "{}"))
        return self.state

    def wait(self, seconds):
        """Returns whether the job has ended within the time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.get()["status"] in END_STATES:
                return True
            time.sleep(0.2)
        return False

    def lines(self, member):
        """Returns the lines of the file that the job's field names."""
        file_id = self.state.get(member)
        if not file_id:
            return []
        text = self.call("GET", f"/v1/files/{file_id}/content").decode()
        return [json.loads(line) for line in text.splitlines()]

    def audit(self):
        """Returns the numbers of items that are missing from the results, have
        more than one result, an unreadable one, or were never submitted.
        """
        wanted = {i["custom_id"] for i in self.items}
        seen = {}
        unreadable = 0
        for line in self.lines("output_file_id") + self.lines("error_file_id"):
            seen[line["custom_id"]] = seen.get(line["custom_id"], 0) + 1
            response = line.get("response") or {}
            if line.get("error"):
                continue
            body = response.get("body")
            if response.get("status_code") != 200 or not body:
                unreadable += response.get("status_code", 0) < 400
        return {"lost": len(wanted - set(seen)),
                "duplicate": sum(n > 1 for n in seen.values()),
                "unreadable": unreadable,
                "unknown": len(set(seen) - wanted)}
