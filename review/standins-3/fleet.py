"""Stand-ins of the users' platform for the scripts of this review.

A key-value store, upstreams and clients, all in one asyncio program, and the
gateway daemons as processes of their own. Only the standard library is used.
Each stand-in does what the users' pages say; the faults of a case are switched
on by the case itself.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/programs/bluebellgw")
TEMPLATE = os.path.join(ROOT, "deploy/gateway.settings")
DRAIN_S = 2.0
GRACE_S = 6.0


def now():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def local_ports(pid):
    """The local ports of the TCP connections of a process that this one started."""
    inodes = set()
    for entry in os.listdir("/proc/%d/fd" % pid):
        try:
            target = os.readlink("/proc/%d/fd/%s" % (pid, entry))
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    ports = set()
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table.readlines()[1:]:
            fields = line.split()
            if fields[9] in inodes:
                ports.add(int(fields[1].split(":")[1], 16))
    return ports


def free_ports(count):
    """Ports that neither outgoing connections nor the tests of the project use."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(17000, 17800)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as each:
                    each.bind(("127.0.0.1", port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


# --- messages -----------------------------------------------------------------


class Message:
    """An HTTP message: the words of its first line, headers and body."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


class BadMessage(Exception):
    """The bytes are no HTTP message."""


async def read_message(reader, is_answer):
    """Returns None at the end of the stream before a message."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise BadMessage("the head ends early") from error
    lines = head.decode("latin-1").split("\r\n")[:-2]
    first = lines[0].split(" ", 2)
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    message = Message(first, headers, b"")
    if is_answer and not re.fullmatch(r"[1-9][0-9][0-9]", first[1]):
        raise BadMessage("the status is no number")
    if message.get("Transfer-Encoding").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            message.body += chunk[:-2]
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(int(message.get("Content-Length")))
    elif is_answer and message.get("Connection").lower() == "close":
        message.body = await reader.read()
    return message


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable",
           504: "Gateway Timeout"}


def answer_bytes(status, headers=(), body=b""):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Other"))]
    lines += ["%s: %s" % each for each in headers]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def json_answer(status, value, headers=()):
    body = json.dumps(value).encode()
    return answer_bytes(status, [("Content-Type", "application/json"), *headers], body)


def request_bytes(method, path, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, path)]
    lines += ["%s: %s" % each for each in headers]
    if body or method in ("POST", "PUT"):
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Record:
    """The lines of record.txt."""

    def __init__(self):
        self.start = now()
        self.lines = []

    def add(self, text):
        self.lines.append("%8.3f %s" % (now() - self.start, text))

    def write(self, path):
        with open(path, "w", encoding="utf-8") as out:
            out.write("\n".join(self.lines) + "\n")


# --- the platform's store -------------------------------------------------------


class Store:
    """The platform's key-value store, as the protocol page describes it."""

    def __init__(self, record):
        self.record = record
        self.items = {}  # key: (value, revision, created, lease)
        self.history = []  # (revision, key, item or None)
        self.leases = {}  # id: [term, ends]
        self.revision = 1
        self.last_lease = 0
        self.era = 0
        self.forgotten = 0
        self.changed = asyncio.Event()
        # Called with (peer port, message); returns None or an action: "busy",
        # "silent", "reset", "unanswered" (done, not answered) or a number of
        # seconds after which the call is carried out without an answer.
        self.fault = lambda peer, message: None
        self.server = None
        self.port = 0
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [key for key, each in self.leases.items() if each[1] <= now()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                del self.items[key]
                self.history.append((self.revision, key, None))
            self.notify()
        return True

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """A write of the operator or of an upstream."""
        self.revision += 1
        self.set(key, value, lease)
        self.notify()

    def set(self, key, value, lease):
        if isinstance(value, str):
            value = value.encode()
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, key, self.items[key]))

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append((self.revision, key, None))
            self.notify()

    def value(self, key):
        return self.items[key][0] if key in self.items else None

    @staticmethod
    def row(key, item):
        return {"Key": key, "Value": base64.b64encode(item[0]).decode(),
                "Revision": item[1], "CreatedRev": item[2], "Lease": item[3]}

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[1]
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader, False)
                if message is None:
                    break
                fault = self.fault(peer, message)
                if fault == "silent":
                    await asyncio.sleep(3600)
                if fault == "reset":
                    writer.transport.abort()
                    return
                if fault == "busy":
                    writer.write(json_answer(503, {}, [("Store-Era", str(self.era))]))
                    await writer.drain()
                    continue
                if isinstance(fault, (int, float)):
                    asyncio.get_running_loop().call_later(
                        fault, lambda m=message: asyncio.ensure_future(self.answer(m)))
                    await asyncio.sleep(3600)
                status, body = await self.answer(message)
                if fault == "unanswered":
                    await asyncio.sleep(3600)
                writer.write(json_answer(status, body, [("Store-Era", str(self.era))]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, BadMessage):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, message):
        method, target = message.first[0], message.first[1]
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/kv-watch":
            return await self.watch(fields)
        if path == "/kv-range":
            return self.range(fields)
        if path == "/kv-key":
            item = self.items.get(fields["Key"])
            if item is None:
                return 404, {"CurrentRev": self.revision}
            return 200, {**self.row(fields["Key"], item), "CurrentRev": self.revision}
        if path == "/kv-txn":
            return self.transact(json.loads(message.body))
        if path == "/kv-lease":
            term = json.loads(message.body)["TtlS_time"]
            self.last_lease += 1
            self.leases[self.last_lease] = [term, now() + term]
            return 200, {"Lease": self.last_lease, "TtlS_time": term}
        if path.startswith("/kv-keep/"):
            lease = int(path[len("/kv-keep/"):])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][1] = now() + self.leases[lease][0]
            return 200, {"TtlS_time": self.leases[lease][0]}
        if path.startswith("/kv-lease-end/") and method == "DELETE":
            return (200 if self.end_lease(int(path[len("/kv-lease-end/"):])) else 404), {}
        return 404, {}

    def range(self, fields):
        prefix, after = fields.get("Prefix", ""), fields.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return 200, {"items": [self.row(key, self.items[key]) for key in keys[:500]],
                     "HasMore": len(keys) > 500, "CurrentRev": self.revision}

    async def watch(self, fields):
        prefix, after = fields.get("Prefix", ""), int(fields["after"])
        ends = now() + int(fields["WaitMs"]) / 1000
        while True:
            if after < self.forgotten or after > self.revision:
                return 410, {}
            events = []
            for revision, key, item in self.history:
                if revision > after and key.startswith(prefix):
                    events.append(self.row(key, item) if item else
                                  {"Key": key, "Revision": revision, "Deleted": True})
            if events or now() >= ends:
                return 200, {"events": events, "CurrentRev": self.revision}
            waiter = self.changed
            try:
                await asyncio.wait_for(waiter.wait(), max(0.001, ends - now()))
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        rows = body["ExpectedRevision"]
        current = [self.row(each["Key"], self.items[each["Key"]])
                   for each in rows if each["Key"] in self.items]
        for each in rows:
            item = self.items.get(each["Key"])
            if (item[1] if item else 0) != each["Revision"]:
                return 412, {"items": current}
        for each in body["SetKeys"]:
            if each.get("Lease") and each["Lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for each in body["SetKeys"]:
            self.set(each["Key"], base64.b64decode(each["Value"]), each.get("Lease", 0))
        for key in body["DeleteKeys"]:
            if self.items.pop(key, None):
                self.history.append((self.revision, key, None))
        self.notify()
        return 200, {"Revision": self.revision}


# --- upstreams --------------------------------------------------------------------


class Upstream:
    """An upstream: slots, a short queue, keys that it holds, and an entry."""

    BEAT_S = 0.87

    def __init__(self, fleet, name, service, zone="lk-west-a", slots=2, keyed=False,
                 work_s=0.03):
        self.fleet = fleet
        self.store = fleet.store
        self.record = fleet.record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.keyed = keyed
        self.work_s = work_s
        self.state = "ready"
        self.leaving_header = False
        self.warmup = 0
        self.born = 0
        self.sequence = 0
        self.port = 0
        self.server = None
        self.held = []  # [first, last, fence, until]
        self.seen = []  # (first, last, fence)
        self.running = {}  # number: key
        self.works = 0
        self.queue = None
        self.writers = set()
        self.beats = True
        self.idle = asyncio.Event()
        # Hooks of a case. Each gets the message and may return bytes to send
        # instead, or None.
        self.on_order = None
        self.on_request = None

    @property
    def life(self):
        return "%s/%d" % (self.name, self.born)

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.sequence = 0
        self.held, self.seen, self.running = [], [], {}
        self.queue = asyncio.Semaphore(self.slots)
        self.beat()
        asyncio.create_task(self.keep_beating(self.born))

    async def keep_beating(self, born):
        while self.born == born and self.server is not None:
            await asyncio.sleep(self.BEAT_S)
            if self.born == born and self.server is not None and self.beats:
                self.beat()

    def beat(self):
        self.sequence += 1
        entry = {"Address": "127.0.0.1:%d" % self.port, "born": self.born,
                 "Information": {"Service": self.service, "Zone": self.zone,
                                 "Version": "v1", "Slots": self.slots},
                 "Status": {"State": self.state, "Sequence": self.sequence,
                            "WarmupRemainingS": self.warmup}}
        self.store.put("servers/" + self.name, json.dumps(entry))

    def drain(self):
        self.state = "draining"
        self.beat()
        self.record.add("%s reports draining" % self.name)

    def crash(self):
        """Ends the process: its connections are reset."""
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.held, self.seen, self.running = [], [], {}
        self.record.add("%s has crashed" % self.name)

    def holds(self, key, at=None):
        at = at or now()
        return any(first <= key <= last and at < until
                   for first, last, _, until in self.held)

    def take_out(self, first, last):
        rest = []
        for each in self.held:
            if each[1] < first or each[0] > last:
                rest.append(each)
                continue
            if each[0] < first:
                rest.append([each[0], first - 1, each[2], each[3]])
            if each[1] > last:
                rest.append([last + 1, each[1], each[2], each[3]])
        self.held = rest

    def grant(self, body, arrived, note=""):
        """Carries a grant out. True: it is taken."""
        first, last, fence = body["From"], body["Target"], body["fence"]
        for low, high, seen in self.seen:
            if low <= last and high >= first and seen > fence:
                self.record.add("%s refuses grant %d-%d fence %d%s" %
                                (self.name, first, last, fence, note))
                return False
        until = arrived + body["HoldS"]
        self.take_out(first, last)
        if now() < until:
            self.held.append([first, last, fence, until])
        self.seen.append((first, last, fence))
        self.fleet.judge.on_grant(self, first, last, fence, until, note)
        return True

    async def release(self, body):
        first, last = body["From"], body["Target"]
        self.take_out(first, last)
        self.fleet.judge.on_release(self, first, last, body["fence"])
        while any(first <= key <= last for key in self.running.values()):
            await asyncio.sleep(0.002)
        self.record.add("%s confirms release %d-%d" % (self.name, first, last))
        return answer_bytes(200, [("X-Handover", "%016x" % random.getrandbits(64))])

    async def serve(self, reader, writer):
        self.writers.add(writer)
        connection = {"previous": b"", "writer": writer}
        try:
            while True:
                message = await read_message(reader, False)
                if message is None:
                    break
                arrived = now()
                expected = message.get("X-Expected-Instance")
                if expected and expected != self.name:
                    answer = answer_bytes(421, [("X-Instance-Id", self.name),
                                                ("X-Not-Executed", "1")])
                elif message.first[1] in ("/grant", "/release"):
                    answer = await self.order(message, arrived, connection)
                else:
                    answer = await self.work(message, reader, connection)
                if answer is None:
                    continue
                writer.write(answer)
                connection["previous"] = answer
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, BadMessage):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def order(self, message, arrived, connection):
        body = json.loads(message.body)
        if self.on_order:
            handled, answer = await self.on_order(self, message, body, arrived, connection)
            if handled:
                return answer
        if message.first[1] == "/release":
            return await self.release(body)
        return json_answer(200 if self.grant(body, arrived) else 409, {})

    async def work(self, message, reader, connection):
        attempt = message.get("X-Attempt-Id")
        key = int(message.get("X-Shard-Key") or 0) if self.keyed else None
        if self.on_request:
            handled, answer = await self.on_request(self, message, connection)
            if handled:
                return answer
        if key is not None and not self.holds(key):
            return answer_bytes(421, self.headers(attempt) + [("X-Not-Executed", "1")])
        number = self.works = self.works + 1
        async with self.queue:
            if key is not None and not self.holds(key):
                return answer_bytes(421, self.headers(attempt) + [("X-Not-Executed", "1")])
            self.fleet.judge.on_run(self, message, key)
            if key is not None:
                self.running[number] = key
            await asyncio.sleep(self.work_s)
            self.running.pop(number, None)
        return self.success(attempt)

    def headers(self, attempt):
        rows = [("X-Attempt-Id", attempt)]
        if self.leaving_header:
            rows.append(("Server-Leaving", "1"))
        return rows

    def success(self, attempt):
        signature = "%s.%s.%08x" % (self.name, attempt, random.getrandbits(32))
        body = ("body of %s" % signature).encode()
        self.fleet.judge.on_answer(self, attempt, 200, signature, body)
        return answer_bytes(200, self.headers(attempt) + [
            ("X-Server-Signature", signature),
            ("X-Server-Load", "%d,0,%d" % (len(self.running), self.slots))], body)


# --- what is judged -----------------------------------------------------------------


class Judge:
    """Keeps what upstreams and clients have seen. A case reads it at its end."""

    def __init__(self, record):
        self.record = record
        self.sent = {}  # attempt: (route kind, when)
        self.runs = {}  # attempt: [(upstream, when)]
        self.made = {}  # attempt: [(status, signature, body)]
        self.answers = {}  # attempt: (status, headers, body) or an error text
        self.grants = []  # (when, upstream life, first, last, fence, until, note)
        self.holds = {}  # upstream: list kept by the upstream itself
        self.broken = []
        self.upstreams = []

    def violation(self, text):
        self.broken.append(text)
        self.record.add("BROKEN: " + text)

    def on_grant(self, upstream, first, last, fence, until, note):
        if upstream not in self.upstreams:
            self.upstreams.append(upstream)
        known = [each for each in self.grants
                 if each[1] == upstream.life and each[2:5] == (first, last, fence)]
        if not known or note:
            self.record.add("%s takes keys %d-%d with fence %d%s" %
                            (upstream.name, first, last, fence, note))
        services = {each.name: each.service for each in self.upstreams}
        for _, life, low, high, other, _, _ in self.grants:
            name = life.split("/")[0]
            if name != upstream.name and services[name] == upstream.service \
                    and low <= last and high >= first and other >= fence:
                self.violation("OWNER: %s takes keys %d-%d with fence %d; %s had keys %d-%d"
                               " with fence %d before" % (upstream.name, first, last, fence,
                                                          life, low, high, other))
                break
        for other in self.upstreams:
            if other is upstream or other.server is None or other.service != upstream.service:
                continue
            for low, high, seen, ends in other.held:
                if low <= last and high >= first and now() < min(ends, until):
                    self.violation("OWNER: %s holds keys %d-%d with fence %d for %.2f s more"
                                   " while %s is given %d-%d with fence %d" % (
                                       other.name, low, high, seen, ends - now(),
                                       upstream.name, first, last, fence))
        self.grants.append((now(), upstream.life, first, last, fence, until, note))

    def on_release(self, upstream, first, last, fence):
        self.record.add("%s gets release %d-%d fence %d" % (upstream.name, first, last, fence))

    def on_run(self, upstream, message, key):
        attempt = message.get("X-Attempt-Id")
        self.runs.setdefault(attempt, []).append((upstream.name, now()))
        self.record.add("%s runs %s key %s" % (upstream.name, attempt, key))

    def on_answer(self, upstream, attempt, status, signature, body):
        self.made.setdefault(attempt, []).append((status, signature, body))


# --- clients ------------------------------------------------------------------------


class Client:
    """Sends requests over a connection that it keeps as long as it can."""

    def __init__(self, fleet, port):
        self.fleet = fleet
        self.port = port
        self.reader = None
        self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.port, limit=1 << 24)

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def call(self, method, host, path, key=None, limit_ms=4000, body=b"",
                   headers=(), kind="safe"):
        """Returns (status, message), or (0, text of the failure)."""
        attempt = "%016x" % random.getrandbits(64)
        judge = self.fleet.judge
        rows = [("Host", host), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", limit_ms),
                *headers]
        if key is not None:
            rows.append(("X-Shard-Key", key))
        judge.sent[attempt] = (kind, now())
        try:
            if self.writer is None:
                await asyncio.wait_for(self.connect(), 1)
            self.writer.write(request_bytes(method, path, rows, body))
            answer = await asyncio.wait_for(read_message(self.reader, True),
                                            limit_ms / 1000 + 0.5)
            if answer is None:
                raise ConnectionError("closed without an answer")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, BadMessage) as error:
            self.close()
            judge.answers[attempt] = repr(error)
            self.fleet.record.add("%s ends: %r" % (attempt, error))
            return 0, repr(error)
        status = int(answer.first[1])
        judge.answers[attempt] = (status, answer.headers, answer.body)
        self.fleet.record.add("%s is answered %d by %s" % (
            attempt, status, answer.get("X-Server-Signature") or "the gateway: " +
            answer.body.decode("latin-1").strip()))
        if answer.get("Connection").lower() == "close":
            self.close()
        return status, answer


# --- the daemons -------------------------------------------------------------------


def fill_template(text, fields):
    """The parts of the platform's templates that the settings file uses."""

    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = (found or {}).get(part)
        return found

    def section(match):
        return match.group(2) if value(match.group(1)) not in (None, False) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def place(match):
        found = value(match.group(1))
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


class Daemon:
    """A gateway daemon, started as the deploy file says."""

    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.front, self.ready, self.first, self.last = free_ports(4)
        self.process = None
        self.starts = 0
        self.store_port = fleet.store.port
        # (WarmupOverage, WarmupSlack), if the deployment states them.
        self.warmup = None

    def fields(self):
        warmup = self.warmup or (None, None)
        return {
            "NodeName": self.name, "Zone": self.zone, "Ip": "127.0.0.1",
            "Bootstrap": self.starts == 0,
            "Limits": {"CpuShare": 0.2, "MemoryMb": 260},
            "ListenAddresses": {"Front": "127.0.0.1:%d" % self.front,
                                "Ready": "127.0.0.1:%d" % self.ready},
            "InternalPortRange": [self.first, self.last],
            "Platform": {"Address": "127.0.0.1:%d" % self.store_port},
            "Bounds": {"GraceS": GRACE_S, "HoldMaxS": 10, "RetryBudgetRatio": 0.2,
                       "RetryBudgetSlack": 62, "WarmupOverage": warmup[0],
                       "WarmupSlack": warmup[1]},
        }

    async def start(self):
        with open(TEMPLATE, encoding="utf-8") as template:
            text = fill_template(template.read(), self.fields())
        path = os.path.join(self.fleet.folder, self.name + ".settings")
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "BLUEBELLSPAN_BOOT": path}
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.starts += 1
        self.fleet.record.add("%s starts as process %d" % (self.name, self.process.pid))

    def signal(self, number):
        self.fleet.record.add("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    @property
    def ended(self):
        return self.process is None or self.process.returncode is not None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(request_bytes("GET", "/readiness", [("Host", "x"), ("Connection", "close")]))
            answer = await asyncio.wait_for(read_message(reader, True), 1)
            writer.close()
            return answer is not None and answer.first[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, BadMessage):
            return False


class Fleet:
    """The store, the upstreams and the daemons of one case."""

    def __init__(self):
        self.record = Record()
        self.judge = Judge(self.record)
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.store = Store(self.record)
        self.upstreams = []
        self.daemons = []
        self.version = 0

    async def open(self, daemons, config, zones=("lk-west-a", "lk-west-b", "lk-west-c")):
        await self.store.start()
        self.write_config(config)
        for i in range(daemons):
            self.daemons.append(Daemon(self, "front-%d" % i, zones[i % len(zones)]))
        return self

    def write_config(self, config):
        self.version += 3
        config = dict(config, Version="%08x" % self.version)
        self.store.put("op/config", json.dumps(config))
        self.record.add("the store confirms config %s" % config["Version"])

    async def add_upstream(self, *arguments, **options):
        upstream = Upstream(self, *arguments, **options)
        self.upstreams.append(upstream)
        self.judge.upstreams.append(upstream)
        await upstream.start()
        return upstream

    async def start_daemons(self, limit_s=10):
        for daemon in self.daemons:
            await daemon.start()
        ends = now() + limit_s
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if now() > ends or daemon.ended:
                    raise CannotRun("%s isn't ready" % daemon.name)
                await asyncio.sleep(0.05)

    def turn_away(self, daemon, lasts):
        """The store answers 503 to one daemon while `lasts()`, on all its connections."""
        own = self.ports_of(daemon)
        self.store.fault = lambda peer, message: "busy" if lasts() and own(peer) else None

    @staticmethod
    def ports_of(daemon):
        """Says whether a local port belongs to the daemon's process."""
        known = {}

        def belongs(port):
            if port not in known:
                known[port] = port in local_ports(daemon.process.pid)
            return known[port]

        return belongs

    def coordinator(self):
        value = self.store.value("bluebell/coordinator")
        for daemon in self.daemons:
            if value and daemon.name.encode() in value:
                return daemon
        return None

    async def wait_for(self, what, limit_s, text):
        ends = now() + limit_s
        while not what():
            if now() > ends:
                raise CannotRun(text)
            await asyncio.sleep(0.01)

    async def close(self):
        for daemon in self.daemons:
            if not daemon.ended:
                daemon.process.kill()
            if daemon.process is not None:
                await daemon.process.wait()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)


class CannotRun(Exception):
    """The case could not be brought about."""


def config(routes, services):
    """routes: (name, host, prefix, kind, timeout, target, rank, service, attempts)."""
    return {
        "Routes": {"Columns": ["Name", "Host", "Prefix", "Kind", "TimeoutS", "TargetLatencyS",
                               "Priority", "Service", "MaxAttempts"],
                   "Rows": [list(each) for each in routes]},
        "Services": {"Columns": ["Name", "HealthCheckPath", "MaxConnections", "Protocol", "Tls",
                                 "Sharded", "WarmS", "Grants"],
                     "Rows": [[name, "/health", 130, "h1", False, keyed or None,
                               5.0 if keyed else None, "call" if keyed else None]
                              for name, keyed in services]},
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3,
                   "IdleTimeoutS": 15}}


def run_case(case, folder, limit_s=110):
    """Runs `case(fleet, trouble)`. It returns the text of a broken rule, or None."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        fleet = Fleet()
        status = 2
        try:
            broken = await asyncio.wait_for(case(fleet, trouble), limit_s)
            status = 1 if broken else 0
            print("broken: " + broken if broken else "held")
            fleet.record.add("broken: " + broken if broken else "held")
        except (CannotRun, asyncio.TimeoutError) as error:
            print("could not run: %r" % error)
            fleet.record.add("could not run: %r" % error)
        finally:
            await fleet.close()
            fleet.record.write(os.path.join(folder, "record.txt"))
        return status

    loop = asyncio.new_event_loop()
    status = 2
    try:
        status = loop.run_until_complete(main())
    finally:
        sys.stdout.flush()
        os._exit(status)
