#!/usr/bin/env python3
"""Test substitute for the platform's services: the key-value service (the
JSON gateway of etcd v3), the host list and the weight store.  For tests and
benches only; all data is in memory.

    platform.py [--kv PORT] [--hosts PORT] [--weights PORT] [--seed N]

Port 0, the default, is any free port.  The first line of standard output is
`kv=PORT hosts=PORT weights=PORT`.  docs/INTERFACES.md describes the calls.
The KV port also serves requests that control the substitute itself:

    POST /standin/set     sets faults and contents, as JSON:
        down_ms           the KV port refuses connections for this long
        slow_ms           each KV response is delayed by this long
        lose_answers      share of KV calls that take effect, but whose
                          connection closes without a response
        watch_silent      true: the watches open now never send again
        expire_leases     true: all leases expire now
        hosts             the host list, visible after hosts_lag_ms
        hosts_lag_ms, weights_per_s, weights_burst, seed
    GET /standin/log      every call as JSON lines
    GET /standin/counts   number of KV calls by kind, a watch counting as one
                          call when it opens; `lists` has the calls of the
                          other services, `waiting` the watches open now
"""
import argparse
import asyncio
import base64
import bisect
import collections
import json
import random
import re
import time

MAX_VALUE_BYTES = 1 << 20
MAX_BODY_BYTES = 8 << 20
PROGRESS_INTERVAL_S = 0.5  # interval of progress messages on an idle watch
LEASE_CHECK_INTERVAL_S = 0.05
LOG_LINES = 200000  # lines kept; older ones are dropped
HISTORY_EVENTS = 20000

NOT_FOUND, FAILED_PRECONDITION, INVALID = 5, 9, 3
HTTP_STATUS = {NOT_FOUND: 404, FAILED_PRECONDITION: 400, INVALID: 400}


class KvError(Exception):
    """An error response: an etcd (gRPC) status code and a message."""

    def __init__(self, code, text):
        super().__init__(text)
        self.code = code
        self.text = text


class Record:
    """A key with its value, revisions and lease (0: none)."""

    def __init__(self, key, value, created, modified, version, lease):
        self.key, self.value, self.lease = key, value, lease
        self.created, self.modified = created, modified
        self.version = version

    def to_json(self, keys_only=False):
        """Returns the key-value object of a response."""
        entry = {"key": encode(self.key),
                 "create_revision": str(self.created),
                 "mod_revision": str(self.modified),
                 "version": str(self.version)}
        if not keys_only:
            entry["value"] = encode(self.value)
        if self.lease:
            entry["lease"] = str(self.lease)
        return entry


class Lease:
    """A lease with a time to live in seconds and the keys attached to it."""

    def __init__(self, ttl):
        self.ttl = ttl
        self.keys = set()
        self.renew()

    def renew(self):
        self.expires = time.monotonic() + self.ttl


class Watch:
    """An open watch on a range of keys and its undelivered events."""

    def __init__(self, start, end):
        self.start, self.end = start, end
        self.queue = asyncio.Queue()
        self.is_silent = False

    def covers(self, key):
        return key_in_range(key, self.start, self.end)


def encode(raw):
    return base64.b64encode(raw).decode()


def decode(text):
    return base64.b64decode(text or "")


def key_in_range(key, start, end):
    """Whether the key is in an etcd range: without `end` the single key
    `start`, with the end b"\\0" all keys from `start` on.
    """
    if not end:
        return key == start
    if end == b"\0":
        return key >= start
    return start <= key < end


def to_snake(value):
    """Returns the value with all field names in snake_case.  The gateway
    accepts both camelCase and the snake_case names of the protocol.
    """
    if isinstance(value, list):
        return [to_snake(item) for item in value]
    if not isinstance(value, dict):
        return value
    return {name if name in ("ID", "TTL") else
            re.sub(r"([A-Z])", lambda m: "_" + m.group(1).lower(), name):
            to_snake(item) for name, item in value.items()}


class Store:
    """The key-value service's data: records, leases, watches and history.

    The do_* methods each run one call and return its response; they raise
    KvError.
    """

    def __init__(self):
        self.revision = 1
        self.records = {}
        self.order = []
        self.leases = {}
        self.watches = set()
        self.history = collections.deque(maxlen=HISTORY_EVENTS)

    def header(self):
        return {"cluster_id": "1", "member_id": "1", "raft_term": "1",
                "revision": str(self.revision)}

    def keys_in(self, start, end):
        """Returns the existing keys of a range, in order."""
        if not end:
            return [start] if start in self.records else []
        first = bisect.bisect_left(self.order, start)
        last = (len(self.order) if end == b"\0"
                else bisect.bisect_left(self.order, end))
        return self.order[first:last]

    def do_range(self, request):
        keys = self.keys_in(decode(request.get("key")),
                            decode(request.get("range_end")))
        limit = int(request.get("limit", 0))
        shown = keys[:limit] if limit else keys
        response = {"header": self.header()}
        if keys:
            response["count"] = str(len(keys))
        if len(shown) < len(keys):
            response["more"] = True
        if shown and not request.get("count_only"):
            response["kvs"] = [
                self.records[key].to_json(request.get("keys_only", False))
                for key in shown]
        return response

    def check_put(self, request):
        """Raises KvError if the value is too large or the lease unknown."""
        if len(decode(request.get("value"))) > MAX_VALUE_BYTES:
            raise KvError(INVALID, "etcdserver: request is too large")
        lease = int(request.get("lease", 0))
        if lease and lease not in self.leases:
            raise KvError(NOT_FOUND,
                          "etcdserver: requested lease not found")

    def put(self, request, revision):
        """Stores a record at the given revision and notifies watches."""
        key = decode(request.get("key"))
        value = decode(request.get("value"))
        lease = int(request.get("lease", 0))
        old = self.records.get(key)
        if old is None:
            bisect.insort(self.order, key)
        elif old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        created = old.created if old else revision
        version = old.version + 1 if old else 1
        record = Record(key, value, created, revision, version, lease)
        self.records[key] = record
        if lease:
            self.leases[lease].keys.add(key)
        self.publish(key, revision, {"kv": record.to_json()})
        return {"header": {"revision": str(revision)}}

    def delete(self, request, revision):
        """Removes a range of keys at the given revision, notifies watches."""
        keys = list(self.keys_in(decode(request.get("key")),
                                 decode(request.get("range_end"))))
        for key in keys:
            record = self.records.pop(key)
            self.order.pop(bisect.bisect_left(self.order, key))
            if record.lease in self.leases:
                self.leases[record.lease].keys.discard(key)
            self.publish(key, revision, {
                "type": "DELETE", "kv": {"key": encode(key),
                                         "mod_revision": str(revision)}})
        response = {"header": {"revision": str(revision)}}
        if keys:
            response["deleted"] = str(len(keys))
        return response

    def publish(self, key, revision, event):
        self.history.append((revision, key, event))
        for watch in self.watches:
            if watch.covers(key):
                watch.queue.put_nowait((revision, event))

    def do_put(self, request):
        self.check_put(request)
        self.revision += 1
        self.put(request, self.revision)
        return {"header": self.header()}

    def do_delete(self, request):
        has_keys = bool(self.keys_in(decode(request.get("key")),
                                     decode(request.get("range_end"))))
        self.revision += 1 if has_keys else 0
        response = self.delete(request, self.revision)
        response["header"] = self.header()
        return response

    def is_true(self, compare):
        """Whether a comparison of a transaction is true."""
        record = self.records.get(decode(compare.get("key")))
        target = compare.get("target", "VERSION")
        if target == "VALUE":
            seen = record.value if record else None
            wanted = decode(compare.get("value"))
        else:
            member = {"VERSION": "version", "CREATE": "created",
                      "MOD": "modified", "LEASE": "lease"}[target]
            field = {"VERSION": "version", "CREATE": "create_revision",
                     "MOD": "mod_revision", "LEASE": "lease"}[target]
            seen = getattr(record, member) if record else 0
            wanted = int(compare.get(field, 0))
        result = compare.get("result", "EQUAL")
        if seen is None:
            return result == "NOT_EQUAL"
        return {"EQUAL": seen == wanted, "NOT_EQUAL": seen != wanted,
                "GREATER": seen > wanted, "LESS": seen < wanted}[result]

    def do_txn(self, request):
        succeeded = all(self.is_true(c) for c in request.get("compare", []))
        steps = request.get("success" if succeeded else "failure", [])
        for step in steps:
            if "request_put" in step:
                self.check_put(step["request_put"])
        writes = any("request_put" in step or (
            "request_delete_range" in step and self.keys_in(
                decode(step["request_delete_range"].get("key")),
                decode(step["request_delete_range"].get("range_end"))))
                     for step in steps)
        self.revision += 1 if writes else 0
        responses = []
        for step in steps:
            if "request_put" in step:
                responses.append({"response_put": self.put(
                    step["request_put"], self.revision)})
            elif "request_delete_range" in step:
                responses.append({"response_delete_range": self.delete(
                    step["request_delete_range"], self.revision)})
            else:
                responses.append({"response_range": self.do_range(
                    step.get("request_range", {}))})
        response = {"header": self.header(), "responses": responses}
        if succeeded:
            response["succeeded"] = True
        return response

    def do_grant(self, request):
        lease = int(request.get("ID", 0)) or random.getrandbits(62) + 1
        if lease in self.leases:
            raise KvError(FAILED_PRECONDITION,
                          "etcdserver: lease already exists")
        ttl = max(1, int(request.get("TTL", 0)))
        self.leases[lease] = Lease(ttl)
        return {"header": self.header(), "ID": str(lease), "TTL": str(ttl)}

    def do_keepalive(self, request):
        lease = int(request.get("ID", 0))
        result = {"header": self.header(), "ID": str(lease)}
        if lease in self.leases:
            self.leases[lease].renew()
            result["TTL"] = str(self.leases[lease].ttl)
        return {"result": result}

    def do_revoke(self, request):
        lease = int(request.get("ID", 0))
        if lease not in self.leases:
            raise KvError(NOT_FOUND,
                          "etcdserver: requested lease not found")
        self.end_lease(lease)
        return {"header": self.header()}

    def end_lease(self, lease):
        """Removes a lease and the keys attached to it, in one revision."""
        keys = sorted(self.leases[lease].keys)
        self.revision += 1 if keys else 0
        for key in keys:
            self.delete({"key": encode(key)}, self.revision)
        del self.leases[lease]

    def expire(self, everything=False):
        """Ends the leases whose time is over, or all of them."""
        now = time.monotonic()
        for lease in list(self.leases):
            if everything or self.leases[lease].expires < now:
                self.end_lease(lease)


class Platform:
    """The HTTP servers of the three services, their faults and their log."""

    def __init__(self, seed):
        self.store = Store()
        self.random = random.Random(seed)
        self.slow_ms = 0
        self.lose_answers = 0.0
        self.hosts = []
        self.hosts_lag_ms = 0
        self.weights_per_s = 1000.0
        self.weights_burst = 10
        self.weights_tokens = 10.0
        self.weights_at = time.monotonic()
        self.counts = collections.Counter()
        self.log = collections.deque(maxlen=LOG_LINES)
        self.address = "127.0.0.1"
        self.kv_port = 0
        self.kv_server = None
        self.connections = {}  # open connections: writer -> reader

    # ---- request handlers ----

    def count_call(self, op, **members):
        """Counts a call and adds it to the log."""
        self.counts[op] += 1
        self.log.append(json.dumps(
            dict(time_ms=int(time.time() * 1000), op=op, **members)))

    async def serve(self, reader, writer, handle):
        """Serves the requests of a connection until `handle` returns False."""
        self.connections[writer] = reader
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await handle(writer, *request):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.pop(writer, None)
            writer.close()

    async def handle_kv(self, writer, method, path, body):
        if path.startswith("/standin/"):
            return await self.handle_standin(writer, method, path, body)
        name = path.removeprefix("/v3/")
        request = to_snake(json.loads(body or b"{}"))
        if name == "watch":
            return await self.handle_watch(
                writer, request.get("create_request", {}))
        calls = {"kv/range": ("range", self.store.do_range),
                 "kv/put": ("put", self.store.do_put),
                 "kv/txn": ("txn", self.store.do_txn),
                 "kv/deleterange": ("deleterange", self.store.do_delete),
                 "lease/grant": ("lease_grant", self.store.do_grant),
                 "lease/keepalive": ("lease_keepalive",
                                     self.store.do_keepalive),
                 "lease/revoke": ("lease_revoke", self.store.do_revoke)}
        if name not in calls:
            return await send_json(writer, 404, {"error": "Not Found"})
        op, call = calls[name]
        is_lost = self.random.random() < self.lose_answers
        self.count_call(op, lost=is_lost, keys=request_keys(request))
        try:
            status, reply = 200, call(request)
        except KvError as error:
            status = HTTP_STATUS[error.code]
            reply = {"error": error.text, "message": error.text,
                     "code": error.code}
        if self.slow_ms:
            await asyncio.sleep(self.slow_ms / 1000)
        if is_lost:
            return False
        return await send_json(writer, status, reply)

    async def handle_watch(self, writer, request):
        """Streams events until the connection closes (ConnectionError)."""
        watch = Watch(decode(request.get("key")),
                      decode(request.get("range_end")))
        self.count_call("watch", keys=[watch.start.decode("utf-8", "replace")])
        since = int(request.get("start_revision", 0))
        if since:
            for revision, key, event in self.store.history:
                if revision >= since and watch.covers(key):
                    watch.queue.put_nowait((revision, event))
        self.store.watches.add(watch)
        try:
            writer.write(b"HTTP/1.1 200 OK\r\n"
                         b"content-type: application/json\r\n"
                         b"transfer-encoding: chunked\r\n\r\n")
            await self.send_line(writer, watch, {"created": True})
            while True:
                await self.send_events(writer, watch)
        finally:
            self.store.watches.discard(watch)

    async def send_events(self, writer, watch):
        try:
            revision, event = await asyncio.wait_for(watch.queue.get(),
                                                     PROGRESS_INTERVAL_S)
        except asyncio.TimeoutError:
            await self.send_line(writer, watch, {})
            return
        if self.slow_ms:
            await asyncio.sleep(self.slow_ms / 1000)
        events = [event]
        while not watch.queue.empty():
            events.append(watch.queue.get_nowait()[1])
        await self.send_line(writer, watch, {"events": events})

    async def send_line(self, writer, watch, result):
        if writer.is_closing() or self.connections[writer].at_eof():
            raise ConnectionResetError
        if watch.is_silent:
            return
        result = dict(header=self.store.header(), **result)
        line = json.dumps({"result": result}).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        await writer.drain()

    async def handle_hosts(self, writer, method, path, body):
        if path != "/hosts":
            return await send_json(writer, 404, {"error": "Not Found"})
        self.count_call("hosts")
        return await send_json(writer, 200, {"hosts": self.hosts})

    async def handle_weights(self, writer, method, path, body):
        if path != "/fetch":
            return await send_json(writer, 404, {"error": "Not Found"})
        request = json.loads(body)
        now = time.monotonic()
        self.weights_tokens = min(
            float(self.weights_burst), self.weights_tokens +
            (now - self.weights_at) * self.weights_per_s)
        self.weights_at = now
        is_granted = self.weights_tokens >= 1
        self.count_call("fetch", granted=is_granted, **request)
        if is_granted:
            self.weights_tokens -= 1
            return await send_json(writer, 200, {})
        wait_s = (1 - self.weights_tokens) / max(self.weights_per_s, 1e-6)
        return await send_json(writer, 429, {}, "retry-after: %d\r\n" %
                               max(1, int(wait_s + 0.999)))

    # ---- control of the substitute ----

    async def handle_standin(self, writer, method, path, body):
        if path == "/standin/set":
            self.set(json.loads(body))
            return await send_json(writer, 200, {})
        if path == "/standin/counts":
            lists = ("hosts", "fetch")
            counts = {op: n for op, n in self.counts.items()
                      if op not in lists}
            counts["lists"] = {op: self.counts[op] for op in lists}
            counts["waiting"] = {"watches": len(self.store.watches)}
            return await send_json(writer, 200, counts)
        if path == "/standin/log":
            lines = "".join(line + "\n" for line in self.log)
            return await send_body(writer, 200, lines.encode())
        return await send_json(writer, 404, {"error": "Not Found"})

    def set(self, wanted):
        for name in ("slow_ms", "lose_answers", "hosts_lag_ms",
                     "weights_per_s", "weights_burst"):
            if name in wanted:
                setattr(self, name, wanted[name])
        if "weights_burst" in wanted:
            self.weights_tokens = float(self.weights_burst)
        if "seed" in wanted:
            self.random.seed(wanted["seed"])
        if wanted.get("watch_silent"):
            for watch in self.store.watches:
                watch.is_silent = True
        if wanted.get("expire_leases"):
            self.store.expire(everything=True)
        if "hosts" in wanted:
            asyncio.get_running_loop().call_later(
                self.hosts_lag_ms / 1000, setattr, self, "hosts",
                wanted["hosts"])
        if wanted.get("down_ms"):
            asyncio.ensure_future(self.go_down(wanted["down_ms"]))

    async def go_down(self, down_ms):
        await asyncio.sleep(0.01)  # let the response to /standin/set be sent
        self.kv_server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(down_ms / 1000)
        await self.open_kv()

    async def open_kv(self):
        self.kv_server = await asyncio.start_server(
            lambda r, w: self.serve(r, w, self.handle_kv), self.address,
            self.kv_port, reuse_address=True, backlog=1024)
        self.kv_port = port_of(self.kv_server)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self.store.expire()


def request_keys(request):
    """Returns the keys that a call names, for the log."""
    steps = request.get("success", []) or [request]
    keys = []
    for step in steps:
        for part in [step] + [p for p in step.values()
                              if isinstance(p, dict)]:
            if isinstance(part.get("key"), str):
                keys.append(decode(part["key"]).decode("utf-8", "replace"))
    return keys


async def read_request(reader):
    """Returns (method, path without query, body), or None if the body is too
    large.  Raises IncompleteReadError when the connection ends.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {name.strip().lower(): value.strip() for name, _, value in
               (line.partition(":") for line in lines[1:] if line)}
    size = int(headers.get("content-length", 0))
    if size > MAX_BODY_BYTES:
        return None
    return method, path.split("?")[0], await reader.readexactly(size)


async def send_json(writer, status, body, headers=""):
    """Sends a JSON response and returns True: the connection stays open."""
    return await send_body(writer, status, json.dumps(body).encode(),
                           headers)


async def send_body(writer, status, body, headers=""):
    writer.write((
        "HTTP/1.1 %d -\r\ncontent-type: application/json\r\n%s"
        "content-length: %d\r\n\r\n" % (status, headers, len(body))
    ).encode() + body)
    await writer.drain()
    return True


def port_of(server):
    return server.sockets[0].getsockname()[1]


async def main():
    parser = argparse.ArgumentParser(description="platform stand-in")
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--kv", type=int, default=0)
    parser.add_argument("--hosts", type=int, default=0)
    parser.add_argument("--weights", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    platform = Platform(options.seed)
    platform.address = options.address
    platform.kv_port = options.kv
    await platform.open_kv()
    hosts = await asyncio.start_server(
        lambda r, w: platform.serve(r, w, platform.handle_hosts),
        options.address, options.hosts)
    weights = await asyncio.start_server(
        lambda r, w: platform.serve(r, w, platform.handle_weights),
        options.address, options.weights)
    print("kv=%d hosts=%d weights=%d" % (platform.kv_port, port_of(hosts),
                                         port_of(weights)), flush=True)
    await platform.expire_leases()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        pass
