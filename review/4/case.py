"""Health probes reach the backends of another service, which run them."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import scene  # noqa: E402

ZONES = ["fi-south-hki", "fi-south-esp", "fi-south-van"]
HEALTH_PATHS = {"catalogue": "/health", "returns": "/status"}
RATE = 40
PLAY_S = 20
CRASH_AT_S = 6
REUSE_AFTER_S = 2
CRASHING = 2


def configuration():
    return {"version": "r7", "routes": [
        scene.route("r-look", "/look/", "read_only", "catalogue", 1.2, 0.25, 2),
        scene.route("r-refund", "/refund/", "non_idempotent", "returns", 0.8,
                    0.2, 0)],
        "services": [{"name": name, "healthPath": path, "maxConnections": 220,
                      "protocol": "h1", "tls": False}
                     for name, path in HEALTH_PATHS.items()],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                   "headerTimeoutS": 3, "idleTimeoutS": 15}}


def make(stage, name, service, zone):
    return stage.backend(name, service, zone, 6, 0.07,
                         health_path=HEALTH_PATHS[service])


async def replace(stage, backend, number):
    """The backend ends; its address goes to a backend of another service."""
    crash = asyncio.create_task(stage.crash(backend))
    await asyncio.sleep(REUSE_AFTER_S + 0.2)
    await stage.add_backend(make(stage, f"i-new{number}", "returns",
                                 backend.zone), backend.address)
    await crash


async def story(stage):
    catalogue = [make(stage, f"i-cat{n}", "catalogue", ZONES[n % 3])
                 for n in range(6)]
    returns = [make(stage, f"i-ret{n}", "returns", ZONES[n % 3])
               for n in range(3)]
    await stage.open(configuration(), catalogue + returns)
    clients = [stage.client(n, pooled=n % 2 == 0) for n in range(18)]
    work = []
    start = time.monotonic()
    number = 0
    replaced = False
    while time.monotonic() < start + PLAY_S:
        if time.monotonic() > start + CRASH_AT_S and not replaced:
            replaced = True
            if stage.trouble:
                for index, backend in enumerate(catalogue[:CRASHING]):
                    work.append(asyncio.create_task(
                        replace(stage, backend, index)))
        refund = number % 3 == 0
        work.append(asyncio.create_task(clients[number % len(clients)].request(
            f"{stage.seed}.{number}", "PUT" if refund else "GET",
            ("/refund/" if refund else "/look/") + str(number),
            0.8 if refund else 1.2, repeatable=not refund,
            body=b"x" * 300 if refund else b"")))
        number += 1
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*work)
    return judge(stage)


def judge(stage):
    """UNASKED: a backend runs a request whose id no client sent."""
    sent = {words[1] for _, words in stage.record.lines if words[0] == "sent"}
    unasked = [(at, words) for at, words in stage.record.lines
               if words[0] == "run" and words[1] not in sent]
    statuses = {}
    for _, words in stage.record.lines:
        if words[0] == "answered":
            statuses[words[2]] = statuses.get(words[2], 0) + 1
    print("answers:", statuses)
    return [f"UNASKED: {words[2]} of {words[3]} ran {words[4]} {words[5]}, id "
            f"{words[1]}, at {at:.3f} s" for at, words in unasked]


if __name__ == "__main__":
    scene.play(FOLDER, ZONES, story)
