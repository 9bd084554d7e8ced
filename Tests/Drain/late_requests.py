#!/usr/bin/env python3
"""Requests that arrive late in the planned stop of one of three gateways.

Sends requests that may not be repeated over new and kept connections, some of
them in parts up to two seconds apart, and stops one gateway with SIGTERM. Each
takes WORK seconds at its target. Needs the program of the deploy file's build
line; uses the stand-ins of review/. Environment: SEED, WORK, RATE.

Exits with 1 if a request was passed on and got no answer.
"""

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review"))

from standins import http1, scene  # noqa: E402

ZONES = ["west", "middle", "east"]
WORK_S = float(os.environ.get("WORK", "1.6"))
LIMIT_S = 8.0
STOP_AT_S = 4.0
PLAY_S = 12.0
RATE = float(os.environ.get("RATE", "40"))


def configuration():
    return {"version": "r1", "routes": [
        scene.route("r-book", "/book/", "non_idempotent", "stock", LIMIT_S, 3.0)],
        "services": [{"name": "stock", "healthPath": "/health",
                      "maxConnections": 220, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                   "headerTimeoutS": 3, "idleTimeoutS": 15}}


async def story(stage):
    draw = random.Random(stage.seed)
    targets = [stage.backend(f"t-{n}", "stock", ZONES[n % 3], 20, WORK_S)
               for n in range(9)]
    await stage.open(configuration(), targets)
    stopped = stage.fleet.gateways[0]
    outcomes = {}
    kept = []

    async def send(number, pause):
        """Sends one request to the gateway that will stop."""
        request_id = f"{stage.seed}.{number}"
        text = http1.format_request("POST", f"/book/{number}", {
            "Host": scene.HOST, "Request-Id": request_id,
            "Request-Deadline": str(int(LIMIT_S * 1000))}, b"x" * 200)
        connection = kept.pop() if kept and number % 2 else None
        try:
            if connection is None:
                host, port = stopped.listen["front"].rsplit(":", 1)
                connection = await asyncio.open_connection(host, port)
            reader, writer = connection
            writer.write(text[:60])
            await asyncio.sleep(pause)
            writer.write(text[60:])
            await writer.drain()
            sent = time.monotonic()
            answer = await http1.read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            outcomes[request_id] = ("unsent", 0.0)
            return
        outcomes[request_id] = (answer.status if answer else "cut", sent)
        if answer and answer.headers.get("connection", "") != "close":
            kept.append(connection)
        else:
            writer.close()

    start = time.monotonic()
    work = []
    stopped_at = None
    while time.monotonic() < start + PLAY_S:
        if stopped_at is None and time.monotonic() > start + STOP_AT_S:
            stopped.signal(signal.SIGTERM)
            stopped_at = time.monotonic()
        pause = draw.uniform(0.2, 2.0) if draw.random() < 0.5 else 0.0
        work.append(asyncio.create_task(send(len(work), pause)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*work)
    runs = stage.runs()
    counts = {}
    faults = []
    for request_id, (status, sent) in outcomes.items():
        counts[status] = counts.get(status, 0) + 1
        if status == "cut" and runs.get(request_id):
            faults.append(f"{request_id} has run and was cut, last byte "
                          f"{sent - stopped_at:.2f} s after the signal")
        if status == 503 and runs.get(request_id):
            faults.append(f"{request_id} has run and was refused")
    print("answers:", counts)
    return faults


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        scene.play(folder, ZONES, story)
