"""Stand-ins and processes for the scripts of the second review.

A stage starts gateways with the command of deploy/system.toml, on addresses
127.0.0.1 and free ports, with the settings that the template of the deploy file
makes for a small deployment. The store, the backends and the clients are small
stand-ins that follow PROTOCOL.md. A record holds what was sent, answered and
run.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
BOUNDS = {"graceS": 6, "ttl_max_s": 5, "retryBudgetRatio": 0.2,
          "retryBudgetSlack": 58, "budgetWindowS": 10, "probesPerS": 60}
MEMORY_MB = 260
DISRUPTED = os.environ.get("TROUBLE", "1") != "0"


DRAWN_PORTS = set()


def free_port():
    """Returns a port that is drawn once, outside the range for client sockets."""
    while True:
        port = random.randrange(15000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in DRAWN_PORTS:
            DRAWN_PORTS.add(port)
            return port


class Record:
    """Lines of record.txt, with the seconds since the start of the script."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def write(self, *words):
        self.file.write(f"{self.now():.3f} {' '.join(str(w) for w in words)}\n")

    def close(self):
        self.file.close()


class Message:
    def __init__(self, first, headers, body, complete):
        self.first = first
        self.headers = headers
        self.body = body
        self.complete = complete


async def read_head(reader):
    """Returns the first line and the headers, or None at the end of input."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as end:
        if end.partial:
            raise ConnectionError(f"no whole header: {end.partial[:80]!r}")
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode(first, headers, body=b"", length=True):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Listens on a free port and serves each connection with serve()."""

    def __init__(self):
        self.port = free_port()
        self.writers = set()
        self.server = None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1",
                                                 self.port, backlog=512)

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass  # The connection or the script has ended.
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: lists and watches of objects by kind."""

    def __init__(self):
        super().__init__()
        self.revision = 100
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Condition()

    async def put(self, kind, name, spec):
        self.revision += 1
        entry = {"metadata": {"name": name, "revision": self.revision,
                              "createRev": self.revision, "finalizers": [],
                              "deletePending": False},
                 "spec": spec, "status": None}
        self.kinds.setdefault(kind, {})[name] = entry
        await self._changed(kind, entry, False)

    async def remove(self, kind, name):
        entry = self.kinds.get(kind, {}).pop(name, None)
        if entry:
            self.revision += 1
            await self._changed(kind, entry, True)

    async def _changed(self, kind, entry, deleted):
        self.history.append((self.revision, kind, {"object": entry, "deleted": deleted}))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            await read_body(reader, head[1])
            target = head[0].split(" ")[1]
            path, _, query = target.partition("?")
            options = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
            kind = path.rsplit("/", 1)[-1]
            if "watch" in options:
                body = await self.watch(kind, int(options["watch"]),
                                        int(options.get("waitMs", "0")) / 1000)
            else:
                after = options.get("after", "")
                items = [entry for name, entry in sorted(self.kinds.get(kind, {}).items())
                         if name > after]
                body = {"items": items, "hasMore": False, "currentRev": self.revision}
            writer.write(encode("HTTP/1.1 200 OK", {"Content-Type": "application/json",
                                                    "Store-Era": "0"},
                                json.dumps(body).encode()))
            await writer.drain()

    async def watch(self, kind, revision, wait):
        end = time.monotonic() + wait
        while True:
            events = [event for number, of, event in self.history
                      if number > revision and of == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "currentRev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Backend(Server):
    """A backend as on PROTOCOL.md; answer() may be replaced by a disruption."""

    def __init__(self, record, name, service, zone, slots=6, work_s=0.05, seed=0):
        super().__init__()
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.slots, self.work_s = slots, work_s
        self.draw = random.Random(f"{name}{seed}")
        self.running = 0
        self.waiting = 0
        self.room = asyncio.Semaphore(slots)
        self.born = int(time.time() * 1000)
        self.leaving = False

    def registration(self, sequence=1):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots,
                "state": "draining" if self.leaving else "ready", "coldLeftS": 0,
                "sequence": sequence, "born": self.born}

    def load(self):
        return f"{self.running},{self.waiting},{self.slots},100"

    async def serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            first, headers = head
            method, target, _ = first.split(" ")
            if target == "/health":
                writer.write(encode("HTTP/1.1 200 OK", {"Backend-Id": self.name,
                                                        "Backend-Load": self.load()}))
                await writer.drain()
                continue
            body = await read_body(reader, headers)
            request = headers.get("request-id", "")
            if headers.get("expected-instance", self.name) != self.name:
                writer.write(encode("HTTP/1.1 421 Misdirected Request",
                                    {"Backend-Id": self.name, "Request-Id": request}))
                await writer.drain()
                continue
            if not request:
                writer.write(encode("HTTP/1.1 400 Bad Request", {"Not-Executed": "1"}))
                await writer.drain()
                continue
            if self.sheds() or (self.running >= self.slots
                                and self.waiting >= 2 * self.slots):
                self.record.write("rejected, not run", request, self.name)
                writer.write(encode("HTTP/1.1 503 Service Unavailable",
                                    {"Not-Executed": "1", "Request-Id": request}))
                await writer.drain()
                continue
            self.waiting += 1
            async with self.room:
                self.waiting -= 1
                self.running += 1
                self.record.write("runs", request, method, target, self.name)
                try:
                    await asyncio.sleep(self.work_s)
                finally:
                    self.running -= 1
            if not await self.answer(writer, method, request, body):
                return

    def sheds(self):
        return False

    async def answer(self, writer, method, request, body):
        text = self.text_for(request)
        writer.write(self.whole_answer(method, request, text))
        await writer.drain()
        return True

    def text_for(self, request):
        return f"{request}:".encode() * 20

    def whole_answer(self, method, request, text):
        headers = {"Request-Id": request, "Backend-Load": self.load(),
                   "Response-Signature": f"{self.name}.{request}"}
        answer = encode("HTTP/1.1 200 OK", headers, text)
        return answer[:-len(text)] if method == "HEAD" else answer


class Gateway:
    """A process of the deploy file's role, with the settings of its template."""

    def __init__(self, folder, number, zone, store, seeds, contracts, port):
        self.name = f"edge-{zone}-{number}"
        self.ports = {name: free_port() for name in ("front", "ready", "directory",
                                                     "metrics")}
        self.ports["peer"] = port
        listen = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        self.settings = {
            "host": self.name, "failure_domain": zone,
            "caller_address": listen["front"], "readiness_address": listen["ready"],
            "directory_address": listen["directory"], "peer_address": listen["peer"],
            "is_first_start": True, "seeds": seeds, "store_address": store,
            "stop_time_s": BOUNDS["graceS"],
            "address_lifetime_maximum_s": BOUNDS["ttl_max_s"],
            "retry_ratio": BOUNDS["retryBudgetRatio"],
            "retry_slack": BOUNDS["retryBudgetSlack"],
            "retry_window_s": BOUNDS["budgetWindowS"],
            "probes_per_target_per_s": BOUNDS["probesPerS"]}
        self.folder, self.contracts = folder, contracts
        self.process = None
        self.log = None

    async def start(self):
        path = Path(self.folder) / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        deploy = (ROOT / "deploy/system.toml").read_text()
        command = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE).group(1).split()
        command[0] = str(ROOT / command[0])
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment.update({
            "COMFREYRILL_NODE_FILE": str(path),
            "COMFREYRILL_METRICS_ADDRESS": f"127.0.0.1:{self.ports['metrics']}",
            "COMFREYRILL_MEMORY_LIMIT_MB": str(MEMORY_MB),
            "COMFREYRILL_CONTRACTS": self.contracts})
        self.log = open(Path(self.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1",
                                                           self.ports["ready"])
            writer.write(b"GET /comfreyrill/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()
        if self.log:
            self.log.close()


def route(name, prefix, kind, service, timeout_s, aim_s, attempts=2):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
            "timeoutS": timeout_s, "targetLatencyS": aim_s, "priority": 1,
            "service": service, "maxAttempts": attempts, "public": False}


def configuration(version, routes, services, **more):
    made = {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConnections": 220,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutS": 3, "idleTimeoutS": 15}}
    made.update(more)
    return made


class Stage:
    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        self.store = Store()
        self.gateways = []
        self.backends = []

    async def open(self, desired, backends, zones,
                   contracts="base,drain,config,cost,retry,recover,health,platform"):
        await self.store.open()
        await self.store.put("config", "main", desired)
        for backend in backends:
            await backend.open()
            await self.store.put("servers", backend.name, backend.registration())
        self.backends = backends
        ports = [free_port() for _ in zones]
        seeds = [f"127.0.0.1:{port}" for port in ports[:3]]
        for number, zone in enumerate(zones):
            self.gateways.append(Gateway(self.folder, number, zone, self.store.address,
                                         seeds, contracts, ports[number]))
        for gateway in self.gateways:
            await gateway.start()
        end = time.monotonic() + 15
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(f"{gateway.name} isn't ready")
                await asyncio.sleep(0.05)
        await asyncio.sleep(1)
        self.record.write("desired state", json.dumps(desired))
        self.record.write("bounds", json.dumps(BOUNDS))
        self.record.write("ready", len(self.gateways), "gateways")

    async def close(self):
        for gateway in self.gateways:
            await gateway.end()
        for backend in self.backends:
            backend.close()
        self.store.close()


def play(folder, story):
    """Runs story(stage), which returns a list of faults, and exits with 0, 1 or 2."""

    async def run(scratch):
        record = Record(Path(folder) / "record.txt")
        stage = Stage(scratch, record)
        try:
            faults = await asyncio.wait_for(story(stage), 110)
        finally:
            await stage.close()
        for fault in faults:
            record.write("FAULT", fault)
        record.write("end", "disrupted" if DISRUPTED else "undisrupted", len(faults),
                     "faults")
        record.close()
        return faults

    with tempfile.TemporaryDirectory() as scratch:
        try:
            faults = asyncio.run(run(scratch))
        except Exception as cause:  # The case could not run.
            print(f"could not run: {cause!r}")
            sys.exit(2)
    for fault in faults[:10]:
        print(fault)
    print("broken" if faults else "held")
    sys.exit(1 if faults else 0)
