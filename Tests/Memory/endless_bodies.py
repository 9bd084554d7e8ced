#!/usr/bin/env python3
"""Memory of gateways while some targets send bodies without end.

Three gateways with 260 MB of memory each and nine targets; some of the targets
answer each request with a body that never ends. Prints the peak of each
gateway and the share of the requests that were answered. Needs the program of
the deploy file's build line; uses the stand-ins of review/.

Environment: SEED, SECONDS, ENDLESS (how many targets), MB_PER_S (speed of one
body), RATE (requests per second), LARGE (bytes of an honest answer that every
hundredth request gets), UPLOADS (requests with a body of 64 MiB that are sent
at once, two times).

Exits with 1 if a gateway has ended or held more than its memory, or if an
honest large answer was lost although no target misbehaves.
"""

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review"))

from standins import backend as sound  # noqa: E402
from standins import fleet, http1, scene  # noqa: E402

ZONES = ["west", "middle", "east"]
SECONDS = float(os.environ.get("SECONDS", "25"))
ENDLESS = int(os.environ.get("ENDLESS", "3"))
BYTES_PER_S = float(os.environ.get("MB_PER_S", "6")) * 1e6
RATE = float(os.environ.get("RATE", "300"))
LARGE = int(os.environ.get("LARGE", "6000000"))
UPLOADS = int(os.environ.get("UPLOADS", "0"))
UPLOAD_BYTES = 64 << 20
UPLOADS_AT_S = (0.2, 0.6)  # shares of the play
TARGETS = 9
PIECE_S = 0.02
LIMIT_S = 3.0


class Target(sound.Backend):
    """Answers with a large body where the path asks for it."""

    async def _run(self, request, request_id, headers):
        answer = await super()._run(request, request_id, headers)
        if not request.target.startswith("/look/large") or b" 200 " not in answer[:16]:
            return answer
        return http1.format_response(200, "OK", headers, b"x" * LARGE)


class EndlessTarget(sound.Backend):
    """Answers probes, and each request with a body that does not end."""

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await http1.read_message(reader)
                if request is None:
                    return
                if request.target == self.health_path:
                    writer.write(await self._handle(request))
                    await writer.drain()
                    continue
                request_id = request.headers.get("request-id", "")
                writer.write((
                    f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                    f"Response-Signature: {self.name}.{request_id}\r\n"
                    "Connection: close\r\n\r\n").encode())
                piece = b"x" * int(BYTES_PER_S * PIECE_S)
                while not writer.is_closing():
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(PIECE_S)
                return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


def configuration():
    return {"version": "r1", "routes": [
        scene.route("r-look", "/look/", "read_only", "stock", 3 * LIMIT_S,
                    0.3)],
        "services": [{"name": "stock", "healthPath": "/health",
                      "maxConnections": 220, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                   "headerTimeoutS": 3, "idleTimeoutS": 15}}


async def story(stage):
    targets = []
    for number in range(TARGETS):
        kind = EndlessTarget if number < ENDLESS else Target
        targets.append(kind(stage.record, f"t-{number}", "stock",
                            ZONES[number % 3], 12, 0.05, stage.seed + number))
    await stage.open(configuration(), targets)
    clients = [stage.client(n, pooled=n % 2 == 0) for n in range(30)]
    counts = {"small": [0, 0], "large": [0, 0], "upload": [0, 0]}

    async def send(number):
        kind = "large" if LARGE and number % 100 == 99 else "small"
        counts[kind][1] += 1
        reply = await clients[number % len(clients)].request(
            f"{stage.seed}.{number}", "GET", f"/look/{kind}/{number}", LIMIT_S,
            True)
        if reply.status == 200 and (kind == "small" or len(reply.body) == LARGE):
            counts[kind][0] += 1

    async def upload(number, at):
        await asyncio.sleep(at * SECONDS)
        counts["upload"][1] += 1
        reply = await clients[number % len(clients)].attempt(
            f"{stage.seed}.u{number}", "PUT", "/look/upload", LIMIT_S * 3,
            b"u" * UPLOAD_BYTES, "upload")
        counts["upload"][0] += reply.status == 200
        outcome = reply.status or reply.headers.get("outcome", "unsent")
        uploads[outcome] = uploads.get(outcome, 0) + 1

    uploads = {}
    work = [asyncio.create_task(upload(number, UPLOADS_AT_S[number % 2]))
            for number in range(2 * UPLOADS)]
    waves = len(work)
    start = time.monotonic()
    while time.monotonic() < start + SECONDS:
        due = int((time.monotonic() - start) * RATE)
        while len(work) - waves < due:
            work.append(asyncio.create_task(send(len(work))))
        await asyncio.sleep(0.002)
    await asyncio.gather(*work)
    faults = []
    for gateway in stage.fleet.gateways:
        print(f"{gateway.name}: peak {gateway.peak_kb / 1000:.0f} MB, "
              f"ends {gateway.exits}")
        if gateway.exits or gateway.peak_kb > fleet.MEMORY_MB * 1024:
            faults.append(f"{gateway.name} exceeded its memory or ended")
    for kind, (served, sent) in counts.items():
        print(f"{kind}: {served} of {sent} answered")
    print("uploads:", uploads)
    statuses = {}
    for _, words in stage.record.lines:
        if words[0] == "answered":
            statuses[words[2]] = statuses.get(words[2], 0) + 1
    print("attempts:", dict(sorted(statuses.items())))
    if ENDLESS == 0 and counts["large"][0] < counts["large"][1]:
        faults.append("honest large answers were lost")
    return faults


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        scene.play(folder, ZONES, story)
