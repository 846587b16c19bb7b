"""Stand-ins for the platform's store, replicas and clients, and the gateway's settings.

They follow the users' pages and use the standard library only. All addresses are
loopback addresses; everything but the gateways runs in the calling process.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.file = open(path, "w")

    def add(self, event, **fields):
        text = " ".join("%s=%s" % item for item in fields.items())
        self.file.write("%9.3f %s %s\n" % (now(), event, text))
        self.file.flush()


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def free_ports(host, count):
    """Returns the first of some consecutive ports that are free for TCP and UDP."""
    for _ in range(200):
        first = random.randrange(20000, 50000)
        opened = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    opened.append(socket.socket(socket.AF_INET, kind))
                    opened[-1].bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for each in opened:
                each.close()
    raise RuntimeError("no free ports")


def loopback_hosts(count):
    """Returns loopback addresses whose fixed metrics port is free."""
    out = []
    while len(out) < count:
        host = "127.%d.%d.%d" % (random.randrange(20, 250), random.randrange(1, 250), random.randrange(2, 250))
        try:
            with socket.socket() as probe:
                probe.bind((host, 9464))
        except OSError:
            continue
        out.append(host)
    return out


# ---------------------------------------------------------------------------
# HTTP/1.1


class Headers(dict):
    """Header fields by lower-case name."""

    def __init__(self, lines):
        super().__init__()
        for line in lines:
            name, _, value = line.partition(":")
            self[name.strip().lower()] = value.strip()


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    return lines[0], Headers(line for line in lines[1:] if line)


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readuntil(b"\r\n")
    return data


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        out = b""
        while True:
            data = await read_chunk(reader)
            if not data:
                return out
            out += data
    return await reader.readexactly(int(headers.get("content-length", "0")))


def is_gone(reader):
    """Whether the peer has closed or reset the connection."""
    return reader.at_eof() or reader.exception() is not None


def render(status, headers, body=b""):
    lines = ["HTTP/1.1 %d Status" % status] + ["%s: %s" % item for item in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# ---------------------------------------------------------------------------
# The platform's store


class Store:
    def __init__(self):
        self.items = {}  # key -> (value, revision, creation, lease)
        self.changes = []  # (revision, key, value or None)
        self.revision = 1
        self.changed = asyncio.Event()
        self.next_lease = 1
        self.host = "127.0.0.1"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        """Writes for the operator or a replica. Returns the new revision: the ack."""
        text = value if isinstance(value, str) else json.dumps(value)
        self.revision += 1
        self.apply(key, base64.b64encode(text.encode()).decode(), 0)
        return self.revision

    def remove(self, key):
        self.revision += 1
        self.apply(key, None, 0)

    def apply(self, key, value, lease):
        if value is None:
            self.items.pop(key, None)
        else:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
        self.changes.append((self.revision, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"privateKey": key, "value": value, "rev": revision, "createRevision": created, "lease": lease}

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                status, answer = await self.handle(method, target, body)
                writer.write(render(status, {"Content-Type": "application/json"}, json.dumps(answer).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        args = {k: v[0] for k, v in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        if path == "/kv-key":
            key = args["privateKey"]
            if key not in self.items:
                return 404, {"storeRevision": self.revision}
            return 200, dict(self.item(key), storeRevision=self.revision)
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(args["pathPrefix"]) and k > args.get("sinceRev", ""))
            return 200, {"items": [self.item(k) for k in keys[:500]], "morePages": len(keys) > 500,
                         "storeRevision": self.revision}
        if path == "/kv-watch":
            return await self.watch(args)
        if path == "/kv-txn":
            return self.transact(json.loads(body))
        if path == "/kv-lease":
            self.next_lease += 1
            return 200, {"lease": self.next_lease, "ttlMs": json.loads(body)["ttlMs"]}
        return (200, {"ttlMs": 3000}) if path.startswith("/kv-keep/") else (404, {})

    async def watch(self, args):
        after, end = int(args["sinceRev"]), time.monotonic() + int(args["waitMs"]) / 1000
        while True:
            events = [{"privateKey": k, "rev": r, "removed": True} if v is None else
                      {"privateKey": k, "value": v, "rev": r, "createRevision": r, "lease": 0}
                      for r, k, v in self.changes if r > after and k.startswith(args["pathPrefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        current = [self.item(row["privateKey"]) for row in call["expectedRev"] if row["privateKey"] in self.items]
        for row in call["expectedRev"]:
            known = self.items[row["privateKey"]][1] if row["privateKey"] in self.items else 0
            if known != row["rev"]:
                return 412, {"items": current}
        if any(put["privateKey"].startswith(("op/", "servers/")) for put in call["setKeys"]):
            return 403, {}
        self.revision += 1
        for put in call["setKeys"]:
            self.apply(put["privateKey"], put["value"], put.get("lease", 0))
        for key in call["remove"]:
            self.apply(key, None, 0)
        return 200, {"rev": self.revision}


# ---------------------------------------------------------------------------
# Replicas


class Replica:
    """Runs `slots` requests at a time and queues a few more, in order of arrival.

    A body `{"work_ms": N}` says how long a request runs."""

    def __init__(self, store, record, service, zone, slots, queue=24, host="127.0.0.1"):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.slots, self.queue, self.host = slots, queue, host
        self.id = "i-%08x" % random.getrandbits(32)
        self.running, self.waiting, self.seq = 0, [], 0
        self.runs = []  # (attempt, begin, end or None)
        self.on_received = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.address = "%s:%d" % (self.host, self.server.sockets[0].getsockname()[1])
        self.announce("ready")

    def announce(self, state):
        self.store.put("servers/" + self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "coldLeftMs": 0, "seq": self.seq})

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                writer.write(await self.answer(line, headers, body, reader))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def take_slot(self, deadline, reader):
        """Returns whether the request may run; it waits in order of arrival."""
        if self.running < self.slots and not self.waiting:
            self.running += 1
            return True
        if len(self.waiting) >= self.queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            while not turn.done():
                if time.monotonic() >= deadline or is_gone(reader):
                    return False
                await asyncio.wait([turn], timeout=0.02)
            return True
        finally:
            if turn in self.waiting:
                self.waiting.remove(turn)

    def free_slot(self):
        if self.waiting:
            self.waiting.pop(0).set_result(True)
        else:
            self.running -= 1

    async def answer(self, line, headers, body, reader):
        attempt = headers.get("attempt-id", "")
        if line.split(" ")[1] == "/healthz":
            return render(200, {"Replica-Id": self.id})
        common = {"Attempt-Id": attempt, "Keep-Alive": "timeout=10"}
        if headers.get("expect-replica", self.id) != self.id:
            return render(421, {"Replica-Id": self.id, "Attempt-Id": attempt})
        if not attempt:
            return render(400, {"Not-Executed": "1"})
        self.record.add("replica-received", id=attempt, replica=self.id, deadline_ms=headers.get("deadline-ms"))
        if self.on_received:
            self.on_received(attempt)
        deadline = time.monotonic() + int(headers.get("deadline-ms", "60000")) / 1000
        if not await self.take_slot(deadline, reader):
            self.record.add("replica-refused", id=attempt, replica=self.id)
            return render(503, dict(common, **{"Not-Executed": "1"}))
        run = [attempt, now(), None]
        self.runs.append(run)
        self.record.add("replica-runs", id=attempt, replica=self.id)
        try:
            end = time.monotonic() + json.loads(body or b"{}").get("work_ms", 50) / 1000
            while time.monotonic() < min(end, deadline):
                if is_gone(reader):
                    self.record.add("replica-dropped", id=attempt, replica=self.id)
                    raise ConnectionError("the caller is gone")
                await asyncio.sleep(min(0.02, max(0, min(end, deadline) - time.monotonic())))
        finally:
            run[2] = now()
            self.free_slot()
        status = 200 if end <= deadline else 504
        self.record.add("replica-answers", id=attempt, replica=self.id, status=status)
        return render(status, dict(common, **{"Replica-Seal": "%s.%s" % (self.id, attempt)}), attempt.encode())


# ---------------------------------------------------------------------------
# Gateways


class Gateway:
    """A process `target/yardrill gateway` as the deploy file starts it."""

    def __init__(self, folder, store_address, name, host, hosts, zone="z1", bounds=None):
        self.name, self.host = name, host
        self.ports = (free_port(host), free_port(host), free_port(host))
        self.peer_port = None
        self.folder, self.store_address, self.zone = folder, store_address, zone
        self.hosts, self.bounds = hosts, bounds or {}
        self.process = None

    def write_settings(self, first_start):
        front, ready, control = self.ports
        bounds = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
                  "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "stretchMs": 5000,
                  "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 54, "quotaWindowS": 8, "quotaOvershoot": 0.1,
                  "quotaSlack": 190000, "recoverS": 12, "passMs": 120, "againS": 10}
        bounds.update(self.bounds)
        lines = ['nodeName = "%s"' % self.name, 'role = "gateway"', 'machineClass = "edge"',
                 'serves = ["edge","control_plane"]', 'ip = "%s"' % self.host, 'zone = "%s"' % self.zone,
                 'region = "r1"', "portRange = [%d,%d]" % (self.peer_port, self.peer_port + 3),
                 "seeds = %s" % json.dumps(["%s:%d" % (h, control) for h in self.hosts[:3]]),
                 "bootstrap = %s" % ("true" if first_start else "false"), "heartbeatMs = 1200",
                 "[zones]", 'z1 = "r1"', 'z2 = "r1"', "[listen]", 'frontend = "%s:%d"' % (self.host, front),
                 'readiness = "%s:%d"' % (self.host, ready), 'control = "%s:%d"' % (self.host, control),
                 "[limits]", "cpuShare = 0.25", "cores = 1", "memoryMb = 260", "maxFds = 4100", "linkMbps = 1000.0",
                 "[bounds]"]
        lines += ["%s = %s" % item for item in bounds.items()]
        lines += ["[platform]", 'address = "%s"' % self.store_address, 'form = "kv"', "writesPerS = 400",
                  "readsPerS = 2000", "historyS = 20", "valueBytes = 1048576", "ttlMinMs = 1000"]
        self.file = os.path.join(self.folder, self.name + ".toml")
        with open(self.file, "w") as out:
            out.write("\n".join(lines) + "\n")

    def start(self, first_start=True):
        self.write_settings(first_start)
        self.log = open(os.path.join(self.folder, self.name + ".log"), "a")
        environment = {"PATH": os.environ.get("PATH", ""), "YARDRILL_BOOT": self.file}
        self.process = subprocess.Popen([os.path.join(ROOT, "target", "yardrill"), "gateway"], cwd=ROOT,
                                        env=environment, stdout=self.log, stderr=self.log)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports[1])
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(self.name + " did not become ready")

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def set_peer_ports(gateways):
    """The port for messages between nodes is the same on all machines of a day."""
    while True:
        first = free_ports(gateways[0].host, 4)
        try:
            for each in gateways:
                for port in range(first, first + 4):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((each.host, port))
        except OSError:
            continue
        for each in gateways:
            each.peer_port = first
        return


# ---------------------------------------------------------------------------
# Clients


class Connection:
    """A kept connection of a client."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.writer = None

    async def open(self, host, port):
        self.reader, self.writer = await asyncio.open_connection(host, port)

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None

    async def send(self, method, path, host, key, body=b"", deadline_ms=15000, headers=None):
        """Sends a request. Returns its id, the status (0: the connection ended
        without a complete answer, -1: no answer in time), headers and body."""
        attempt = "%016x" % random.getrandbits(64)
        fields = {"Host": host, "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms), "Api-Key": key,
                  "Content-Length": str(len(body))}
        fields.update(headers or {})
        text = "%s %s HTTP/1.1\r\n" % (method, path) + "".join("%s: %s\r\n" % item for item in fields.items())
        self.record.add("client-sends", id=attempt, client=self.name)
        answer = Headers([])
        try:
            self.writer.write(text.encode() + b"\r\n" + body)
            await self.writer.drain()
            line, answer = await asyncio.wait_for(read_head(self.reader), deadline_ms / 1000 + 1)
            data = await asyncio.wait_for(read_body(self.reader, answer), deadline_ms / 1000 + 1)
            status = int(line.split(" ")[1])
        except (asyncio.IncompleteReadError, ConnectionError):
            status, data = 0, b""
        except asyncio.TimeoutError:
            status, data = -1, b""
        self.record.add("client-gets", id=attempt, client=self.name, status=status or "connection-ended",
                        seal=answer.get("replica-seal"), retry_after=answer.get("retry-after"))
        if status <= 0 or answer.get("connection", "").lower() == "close":
            self.close()
        return attempt, status, answer, data


def route(name, path, kind, service, timeout_ms, slo_ms, attempts=1, **more):
    out = {"name": name, "host": "app.example", "pathPrefix": path, "routeKind": kind, "timeoutMs": timeout_ms,
           "sloMs": slo_ms, "priority": 0, "service": service, "maxAttempts": attempts, "public": False}
    out.update(more)
    return out


def configuration(version, routes, services, tenants):
    return {"version": version, "routes": routes,
            "services": [{"name": s, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": False}
                         for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": tenants}


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def end_on_sigterm():
    """Lets a script that is stopped early still end the processes that it started."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
