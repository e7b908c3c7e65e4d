"""Closed-loop callers and the outcome of each of their requests.

Each caller has its own thread and one request at a time.  Scenarios that
measure rates and latencies use `cardamomctl load`; these callers are for
fault scenarios, which check the outcome of every single request.
"""

import hashlib
import http.client
import json
import random
import socket
import threading
import time

# How a request ended: complete correct response, refusal with a verdict,
# connection lost or response incomplete, response of another request.
ANSWERED, REFUSED, CUT, WRONG = "answered", "refused", "cut", "wrong"


def prompt_digest(messages):
    """Returns the prompt's digest, which standin_engine adds to each token."""
    text = json.dumps(messages, separators=(",", ":"), ensure_ascii=False)
    return hashlib.sha256(text.encode()).hexdigest()[:8]


class Outcome:
    """The result of a request, as the caller saw it; times in seconds."""

    def __init__(self, marker, start):
        self.marker = marker
        self.start = start
        self.end = None
        self.kind = CUT
        self.status = 0
        self.ran = None  # refusal: whether it ran, "no", "maybe" or "yes"
        self.first = None
        self.detail = ""


class Callers:
    """`count` callers that send requests until stop(), each on its own thread.

    targets() returns the addresses of the nodes that a load balancer would
    use now.  make_call(rng, marker) returns the next request, a Chat or a
    ServiceCall.  `timeout` and `pause` are in seconds.
    """

    def __init__(self, key, targets, count, make_call, seed=1, timeout=5.0,
                 pause=0.0):
        self.key = key
        self.targets = targets
        self.make_call = make_call
        self.timeout = timeout
        self.pause = pause
        self.outcomes = []
        self.lock = threading.Lock()
        self.is_stopping = False
        self.threads = [
            threading.Thread(target=self.run, args=(i, seed), daemon=True)
            for i in range(count)]

    def start(self):
        for thread in self.threads:
            thread.start()
        return self

    def stop(self):
        """Waits for the last requests and returns all outcomes."""
        self.is_stopping = True
        for thread in self.threads:
            thread.join(self.timeout + 60)
        return self.outcomes

    def run(self, index, seed):
        rng = random.Random(seed * 1000 + index)
        count = 0
        while not self.is_stopping:
            count += 1
            marker = f"c{seed}-{index}-{count}"
            targets = self.targets()
            if not targets:
                time.sleep(0.05)
                continue
            outcome = Outcome(marker, time.monotonic())
            call = self.make_call(rng, marker)
            try:
                call.run(rng.choice(targets), self.key, outcome,
                         self.timeout)
            except (OSError, http.client.HTTPException) as failure:
                outcome.kind = CUT
                outcome.detail = f"{type(failure).__name__} {failure}"
            outcome.end = time.monotonic()
            with self.lock:
                self.outcomes.append(outcome)
            time.sleep(self.pause)


def open_request(address, method, path, body, key, timeout):
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    connection.connect()
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.request(method, path, body, {
        "authorization": "Bearer " + key, "content-type": "application/json"})
    return connection, connection.getresponse()


def record_refusal(outcome, response):
    """Records a response with another status than 200."""
    outcome.status = response.status
    outcome.ran = response.getheader("x-cardamompick-ran")
    outcome.detail = response.read().decode(errors="replace")[:200]
    outcome.kind = REFUSED


class Chat:
    """A chat request, streamed or not.  run() checks that the response is
    complete and belongs to this request.
    """

    def __init__(self, model, marker, tokens, is_stream):
        self.messages = [{"role": "user", "content": f"question {marker}"}]
        self.digest = prompt_digest(self.messages)
        self.tokens = tokens
        self.is_stream = is_stream
        self.body = json.dumps({"model": model, "stream": is_stream,
                                "max_tokens": tokens,
                                "messages": self.messages})

    def expected(self):
        return "".join(f"t{i}-{self.digest} " for i in range(self.tokens))

    def run(self, address, key, outcome, timeout):
        connection, response = open_request(
            address, "POST", "/v1/chat/completions", self.body, key, timeout)
        try:
            if response.status != 200:
                record_refusal(outcome, response)
                return
            outcome.status = 200
            text, error = (self.read_stream(response, outcome)
                           if self.is_stream else self.read_body(response))
            outcome.detail = error
            if text == self.expected():
                outcome.kind = ANSWERED
            elif self.expected().startswith(text):
                outcome.kind = REFUSED if error else CUT
            else:
                outcome.kind = WRONG
                outcome.detail = f"{text[:80]!r} for {self.digest} {error}"
        finally:
            connection.close()

    def read_body(self, response):
        body = json.loads(response.read())
        return body["choices"][0]["message"]["content"], ""

    def read_stream(self, response, outcome):
        """Returns the text and the message of an error event, or ""."""
        text, error, is_done = "", "", False
        for line in response:
            if not line.startswith(b"data: "):
                continue
            if line.strip() == b"data: [DONE]":
                is_done = True
                continue
            event = json.loads(line[6:])
            if "error" in event:
                error = event["error"].get("message", "error")
                outcome.ran = event["error"].get("ran", "maybe")
                continue
            if outcome.first is None:
                outcome.first = time.monotonic()
            text += event["choices"][0].get("delta", {}).get("content", "")
        if not is_done and not error:
            text = text[:-1]  # no end event: must not count as complete
        return text, error


class ServiceCall:
    """A call of a plain service, with the request's marker in the path."""

    def __init__(self, service, marker, method="POST"):
        self.path = f"/services/{service}/orders/{marker}"
        self.method = method

    def run(self, address, key, outcome, timeout):
        connection, response = open_request(address, self.method, self.path,
                                            "{}", key, timeout)
        try:
            if response.status != 200:
                record_refusal(outcome, response)
                return
            body = json.loads(response.read())
            outcome.status = 200
            is_own = body["path"].endswith(outcome.marker)
            outcome.kind = ANSWERED if is_own else WRONG
        finally:
            connection.close()


def count(outcomes, kind):
    return sum(o.kind == kind for o in outcomes)


def executions(servers):
    """Returns how often each call was run, by the marker in its path."""
    found = {}
    for server in servers:
        for entry in server.log():
            if entry.get("end") in ("done", "lost"):
                marker = entry["path"].rsplit("/", 1)[-1]
                found[marker] = found.get(marker, 0) + 1
    return found
