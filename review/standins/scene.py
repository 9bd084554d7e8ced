"""A small installation with its record, for the scripts of the cases."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time
import zlib
from pathlib import Path

from .backend import Backend
from .client import Client
from .fleet import Fleet, ROOT, loopback
from .store import Store

HEARTBEAT_S = 1.5
HOST = "desk.example"

EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2


class Record:
    """What was sent, answered and run, one event a line."""

    def __init__(self, path):
        self.path = path
        self.start = time.monotonic()
        self.lines = []

    def __call__(self, *words):
        self.lines.append((time.monotonic() - self.start, words))

    def save(self):
        with open(self.path, "w", encoding="utf-8") as out:
            for at, words in self.lines:
                out.write(f"{at:8.3f} {' '.join(str(w) for w in words)}\n")


def route(name, prefix, kind, service, timeout_s, latency_s, priority=1,
          attempts=2):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
            "timeoutS": timeout_s, "targetLatencyS": latency_s,
            "priority": priority, "service": service, "maxAttempts": attempts}


class Scene:
    def __init__(self, folder, zones):
        self.record = Record(Path(folder) / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.seed = int(os.environ.get("SEED", str(int(time.time()))))
        self.record("trouble", self.trouble, "seed", self.seed)
        self.work = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.zones = zones
        self.fleet = None
        self.backends = []
        self.started = 0
        self.tasks = []

    async def open(self, configuration, backends, prepare=None, ready_s=30):
        """Starts the store, the backends and the gateways; `prepare` may
        change the fleet before its start. Without `ready_s` the gateways
        aren't waited for."""
        await self.store.start(loopback(200))
        self.store.put("config", "main", configuration)
        for backend in backends:
            await self.add_backend(backend)
        self.fleet = Fleet(self.record, self.work, self.store.address,
                           self.zones)
        if prepare:
            prepare(self.fleet)
        self.fleet.start()
        self.tasks.append(asyncio.create_task(self.fleet.watch()))
        self.tasks.append(asyncio.create_task(self._beat()))
        if ready_s:
            await self.wait_ready(ready_s)

    async def add_backend(self, backend, address=None):
        """Starts and registers a backend, at the address of an earlier one if
        one is given."""
        host, port = (address.rsplit(":", 1) if address
                      else (loopback(100 + self.started), 0))
        await backend.start(host, int(port))
        self.started += 1
        self.backends.append(backend)
        self.store.put("servers", backend.name, backend.registration())
        self.record("registered", backend.name, backend.service,
                    backend.address)

    async def crash(self, backend):
        """Ends a backend for good; its entry goes after three heartbeat
        intervals of silence."""
        self.record("crash", backend.name)
        self.backends.remove(backend)
        backend.exit()
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.record("lapsed", backend.name)
        self.store.remove("servers", backend.name)

    def backend(self, name, service, zone, slots, work_s, **options):
        return Backend(self.record, name, service, zone, slots, work_s,
                       self.seed + zlib.crc32(name.encode()), **options)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for backend in self.backends:
                backend.sequence += 1

    async def is_ready(self, gateway):
        from . import http1
        address = gateway.listen["readyAddress"]
        host, port = address.rsplit(":", 1)
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(http1.format_request(
                    "GET", "/comfreyrill/readiness", {"Host": address}))
                answer = await http1.read_message(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    async def wait_ready(self, limit_s):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            ready = [await self.is_ready(g) for g in self.fleet.gateways]
            if all(ready):
                self.record("ready")
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the gateways didn't get ready")

    def client(self, number, pooled):
        directories = [g.listen["directory"] for g in self.fleet.gateways]
        return Client(self.record, directories, HOST,
                      self.zones[number % len(self.zones)], pooled,
                      self.seed * 1000 + number)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        if self.fleet:
            self.fleet.stop()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.work, logs, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)
        self.record.save()

    def runs(self):
        """Returns how often each request has run."""
        counts = {}
        for _, words in self.record.lines:
            if words[0] == "run":
                counts[words[1]] = counts.get(words[1], 0) + 1
        return counts


def play(folder, zones, story):
    """Runs a story and exits with 1 if it returns broken rules, 0 if none."""
    if not (ROOT / "target/Services/Daemon/comfreyrilld").exists():
        print("build the system first: see deploy/system.toml")
        sys.exit(EXIT_COULD_NOT_RUN)

    async def whole():
        scene = Scene(folder, zones)
        try:
            async with asyncio.timeout(115):
                return await story(scene)
        finally:
            await scene.close()

    # All processes are ended also when the script itself is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_COULD_NOT_RUN))
    try:
        broken = asyncio.run(whole())
    except (RuntimeError, OSError, TimeoutError) as cause:
        print(f"the case couldn't run: {cause!r}")
        sys.exit(EXIT_COULD_NOT_RUN)
    for line in broken:
        print(line)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
