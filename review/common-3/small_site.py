"""A small site for the cases of the third review.

The metadata store and the model servers are stand-ins in this process, on
loopback ports.  The nodes are the program of the deploy file, one process
each, with settings rendered as deploy/node.json.in does it.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = pathlib.Path(os.environ.get("CARDAMOMPICK_PROGRAM",
                                      ROOT / "target" / "bin" /
                                      "cardamompick"))
HOST = "desk.example"


def free_port():
    """A port below those that the system gives to outgoing connections: a
    process that starts again must find its port free."""
    while True:
        port = random.randrange(10000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


async def read_head(reader):
    """Returns (start line words, headers in lower case); None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_body(reader, headers):
    """Returns the body of a request or response with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's metadata store.  `rule(name, body)` may return what goes
    wrong with a call: "refuse" (503, nothing is done), "lost" (done, no
    answer), ("late", seconds): done after this time if its condition still
    holds then, no answer; ("slow", seconds); "silent": no answer, not done.
    """

    def __init__(self):
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease = 1, 1000
        self.rule = lambda name, body: None
        self.calls = 0
        self.changed = asyncio.Event()
        self.background = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=16 << 20, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self._put(key, base64.b64encode(text).decode(), 0)

    def remove(self, key):
        self.revision += 1
        self._remove(key)

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def _event(self, event):
        self.history = (self.history + [event])[-2000:]
        self.changed.set()
        self.changed = asyncio.Event()

    def _put(self, key, value, lease):
        old = self.items.get(key)
        self.items[key] = item = {
            "key": key, "value": value, "revision": self.revision,
            "createRev": old["createRev"] if old else self.revision,
            "lease": lease}
        self._event(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self._event({"key": key, "revision": self.revision,
                         "tombstone": True})

    def expire(self):
        now = time.monotonic()
        for lease in [l for l, (_, end) in self.leases.items() if end < now]:
            del self.leases[lease]
            keys = [k for k, i in self.items.items() if i["lease"] == lease]
            self.revision += 1 if keys else 0
            for key in keys:
                self._remove(key)

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                (method, target, _), headers = head
                raw = await read_body(reader, headers)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query))
                body = json.loads(raw) if raw else None
                name = parts.path.removeprefix("/cardamompick/")
                answer = await self.call(method, name, query, body)
                if answer is None:
                    await asyncio.sleep(20)  # a channel that returns nothing
                    return
                text = json.dumps(answer[1]).encode()
                writer.write(b"HTTP/1.1 %d -\r\ncontent-type: application/json"
                             b"\r\ncontent-length: %d\r\n\r\n" %
                             (answer[0], len(text)) + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, name, query, body):
        self.calls += 1
        await asyncio.sleep(0.004)
        self.expire()
        trouble = self.rule(name, body)
        if trouble == "refuse":
            return 503, {}
        if trouble == "silent":
            return None
        if isinstance(trouble, tuple) and trouble[0] == "late":
            task = asyncio.ensure_future(
                self.run_late(trouble[1], method, name, query, body))
            self.background.add(task)
            return None
        if isinstance(trouble, tuple) and trouble[0] == "slow":
            await asyncio.sleep(trouble[1])
        answer = await self.run(method, name, query, body)
        return None if trouble == "lost" else answer

    async def run_late(self, seconds, method, name, query, body):
        await asyncio.sleep(seconds)
        self.expire()
        await self.run(method, name, query, body)

    async def run(self, method, name, query, body):
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (
                200, {**item, "currentRev": self.revision})
        if name == "kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            page, size = [], 0
            for key in keys[:500]:
                size += len(self.items[key]["value"])
                if page and size > 1_000_000:
                    break
                page.append(self.items[key])
            return 200, {"items": page, "truncated": len(page) < len(keys),
                         "currentRev": self.revision}
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.txn(body)
        return self.lease(method, name, body)

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            self.expire()
            if self.history and after + 1 < self.history[0]["revision"] and \
                    len(self.history) == 2000:
                return 410, {}
            events = [e for e in self.history if e["revision"] > after
                      and e["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                pass

    def txn(self, body):
        now = [self.items.get(row["key"]) for row in body["expectedRev"]]
        for row, item in zip(body["expectedRev"], now):
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [
                    i or {"key": r["key"], "revision": 0}
                    for r, i in zip(body["expectedRev"], now)]}
        for row in body["setKeys"]:
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
            if len(base64.b64decode(row["value"])) > 1048576:
                return 400, {}
        if len(body["expectedRev"] + body["setKeys"] + body["remove"]) > 32:
            return 400, {}
        names = [row["key"] for row in body["setKeys"]] + body["remove"]
        if any(n.startswith(("op/", "servers/")) for n in names):
            return 403, {}
        self.revision += 1
        for row in body["setKeys"]:
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in body["remove"]:
            self._remove(key)
        return 200, {"revision": self.revision}

    def lease(self, method, name, body):
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
            self.expire()
        return 200, {"ttlMs": ttl}


class Node:
    """One machine of the site; `front` machines serve clients."""

    def __init__(self, store_port, name, zone, is_front, folder, control,
                 seeds):
        self.name, self.zone, self.is_front = name, zone, is_front
        self.front, self.ready = free_port(), free_port()
        self.settings = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.settings.write_text(json.dumps({
            "name": name, "zone": zone, "source": "127.0.0.1",
            "control": f"127.0.0.1:{control}", "seeds": seeds,
            "platform": {"kv": [f"127.0.0.1:{store_port}"],
                         "value_bytes": 1048576},
            "grace_s": 8,
            "cpu": {"share": 0.25 if is_front else 0.5, "cores": 1},
            "log_level": "info",
            "site": {
                "callers": f"127.0.0.1:{self.front}" if is_front else None,
                "probes": f"127.0.0.1:{self.ready}" if is_front else None,
                "metrics": f"127.0.0.1:{free_port()}",
                "jobs": f"127.0.0.1:{free_port()}",
                "may_retire": not is_front, "first_start": False,
                "zones": {"a": "north", "b": "north"}}}))
        self.process = None

    async def start(self):
        env = {k: os.environ[k] for k in
               ("PATH", "HOME", "LANG", "ASAN_OPTIONS", "UBSAN_OPTIONS",
                "TSAN_OPTIONS") if k in os.environ}
        env["CARDAMOMPICK_SETTINGS"] = str(self.settings)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAM), cwd=ROOT, env=env, stdout=log, stderr=log)

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    async def is_ready(self):
        return (await call(self.ready, "GET", "/cardamompick/readyz",
                           timeout=2))[0] == 200


async def call(port, method, target, body=b"", headers=None, timeout=15):
    """One request on a channel of its own; returns (status, headers, body),
    status 0 without a complete answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", port, limit=8 << 20), 1)
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}",
                 "Connection: close"]
        lines += [f"{n}: {v}" for n, v in (headers or {}).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        head = await asyncio.wait_for(read_head(reader), timeout)
        if head is None:
            return 0, {}, b""
        status = int(head[0][1])
        return status, head[1], await asyncio.wait_for(
            read_body(reader, head[1]), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


def configuration(version, routes):
    return {"version": version, "routes": routes,
            "services": [{"name": "llm", "engine": {"slots": 8,
                                                    "kvCapacity": 100000}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def route(name, kind, **more):
    return {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind,
            "service": "llm", "timeoutMs": 8000, "targetLatencyMs": 300,
            "priority": 0, "maxAttempts": 2, "sticky": True, **more}


def batch_route(**more):
    return route("sheets", "batch", **{
        "targetLatencyMs": 400, "completionTargetMs": 18000,
        "maxAttempts": 3, "retentionS": 60, "priority": 2, "maxCount": 0,
        **more})


def run(main):
    """Runs a case to its end; a SIGTERM ends it early, with its processes."""
    async def guarded():
        task = asyncio.ensure_future(main)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM,
                                                      task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            return 2

    return asyncio.run(guarded())


async def start_nodes(store, folder, n_stores=3, n_fronts=2):
    """Starts the machines; returns (nodes, whether the fronts are ready)."""
    controls = [free_port() for _ in range(n_stores + n_fronts)]
    seeds = [f"127.0.0.1:{port}" for port in controls[:3]]
    nodes = []
    for i, control in enumerate(controls):
        is_front = i >= n_stores
        number = i - n_stores + 1 if is_front else i + 1
        node = Node(store.port, f"{'front' if is_front else 'store'}-{number}",
                    "ab"[i % 2], is_front, folder, control, seeds)
        nodes.append(node)
        await node.start()
    end = time.monotonic() + 20
    for node in nodes:
        while node.is_front and not await node.is_ready():
            if time.monotonic() > end:
                return nodes, False
            await asyncio.sleep(0.1)
    await asyncio.sleep(2.5)  # owners grant only a part of the slots at first
    return nodes, True


class Engine:
    """A sound model server that streams and resumes.  `text(id, n)` is the
    data of event n of a request, and `n_events` how many there are."""

    def __init__(self, name, text, n_events, interval_s, slots=8):
        self.name, self.text, self.n_events = name, text, n_events
        self.interval_s, self.slots = interval_s, slots
        self.running = 0
        self.runs = []  # (time, request id, Last-Event-Id or None)

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=8 << 20, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, zone, state="ready"):
        return {"service": "llm", "address": f"127.0.0.1:{self.port}",
                "zone": zone, "slots": self.slots, "state": state, "seq": 1,
                "version": 1, "coldLeftMs": 0, "born": 1000}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                (method, target, _), headers = head
                await read_body(reader, headers)
                if not await self.answer(writer, headers):
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, headers):
        request_id = headers.get("x-attempt-id", "")
        refusal = None
        if headers.get("x-expect-instance", self.name) != self.name:
            refusal = 421
        elif self.running >= self.slots + 24:
            refusal = 503
        if refusal is not None:
            writer.write(b"HTTP/1.1 %d -\r\nX-Attempt-Id: %s\r\n"
                         b"X-Not-Executed: 1\r\nX-Instance-Id: %s\r\n"
                         b"Content-Length: 0\r\n\r\n" %
                         (refusal, request_id.encode(), self.name.encode()))
            await writer.drain()
            return True
        after = headers.get("last-event-id")
        self.running += 1
        try:
            self.runs.append((time.monotonic(), request_id, after))
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                b"X-Response-Seal: seal.%s\r\nX-Weight-Versions: 1\r\n"
                b"Content-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n" %
                (request_id.encode(), request_id.encode()))
            for n in range(int(after or 0) + 1, self.n_events + 1):
                await asyncio.sleep(self.interval_s)
                if writer.is_closing() or writer.transport.is_closing():
                    return False
                event = f"id: {n}\ndata: {self.text(request_id, n)}\n\n"
                writer.write(b"%x\r\n%s\r\n" % (len(event), event.encode()))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running -= 1
