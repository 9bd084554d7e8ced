"""A request that crashes the backends that run it reaches them again and
again."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import backend, scene  # noqa: E402

ZONES = ["fi-south-hki", "fi-south-esp", "fi-south-van"]
RATE = 60
PLAY_S = 30
CRASHING_FROM_S = 4
CRASHING_EVERY_S = 1.0
BACK_AFTER_S = 3
STABILITY_WINDOW_S = 3
CRASHING = ("/loan/the-same", b"the same body")


def configuration():
    return {"version": "r7", "routes": [
        scene.route("r-look", "/look/", "read_only", "catalogue", 1.2, 0.25, 2),
        scene.route("r-loan", "/loan/", "non_idempotent", "catalogue", 0.8,
                    0.3)],
        "services": [{"name": "catalogue", "healthPath": "/health",
                      "maxConnections": 220, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                   "headerTimeoutS": 3, "idleTimeoutS": 15}}


class CrashingBackend(backend.Backend):
    """Crashes as soon as it begins to run the one request, and is back after
    some seconds at the same address, as a new lifetime."""

    async def _run(self, request, request_id, headers):
        if (self.stage.trouble
                and (request.target, request.body) == CRASHING):
            self.record("run", request_id, self.name, self.service,
                        request.method, request.target)
            self.record("crash", self.name, request_id, "with", self.running,
                        "others")
            self.stage.backends.remove(self)
            self.exit()
            self.stage.tasks.append(asyncio.create_task(self.come_back()))
            raise ConnectionResetError
        return await super()._run(request, request_id, headers)

    async def come_back(self):
        await asyncio.sleep(BACK_AFTER_S)
        await self.stage.add_backend(make(self.stage, self.name, self.zone),
                                     self.address)


def make(stage, name, zone):
    made = CrashingBackend(stage.record, name, "catalogue", zone, 6, 0.12,
                           stage.seed + ord(name[-1]))
    made.stage = stage
    return made


async def send_crashing(stage, client):
    number = 0
    while True:
        number += 1
        await client.attempt(f"{stage.seed}.same{number}", "POST", CRASHING[0],
                             1.5, CRASHING[1])
        await asyncio.sleep(CRASHING_EVERY_S)


async def story(stage):
    await stage.open(configuration(), [
        make(stage, f"i-{n}", ZONES[n % 3]) for n in range(9)])
    clients = [stage.client(n, pooled=n % 2 == 0) for n in range(18)]
    work = []
    start = time.monotonic()
    number = 0
    crashing = None
    while time.monotonic() < start + PLAY_S:
        if time.monotonic() > start + CRASHING_FROM_S and not crashing:
            crashing = asyncio.create_task(
                send_crashing(stage, stage.client(99, False)))
        loan = number % 3 == 0
        work.append(asyncio.create_task(clients[number % len(clients)].request(
            f"{stage.seed}.{number}", "POST" if loan else "GET",
            ("/loan/" if loan else "/look/") + str(number),
            1.5 if loan else 1.2, repeatable=not loan,
            body=b"x" * 300 if loan else b"")))
        number += 1
        await asyncio.sleep(1 / RATE)
    crashing.cancel()
    await asyncio.gather(*work)
    return judge(stage)


def judge(stage):
    """BUDGET: after the request has crashed the third backend, and
    stabilityWindowS more, more than three of its retries reach backends."""
    crashes = [at for at, words in stage.record.lines if words[0] == "crash"]
    # When each backend has crashed for the first time.
    first = {}
    for at, words in stage.record.lines:
        if words[0] == "crash":
            first.setdefault(words[1], at)
    runs = stage.runs()
    loans = {words[1] for _, words in stage.record.lines
             if words[0] == "sent" and words[2] == "POST"
             and ".same" not in words[1]}
    lost = [words[1] for _, words in stage.record.lines
            if words[0] == "answered" and words[2] in ("502", "closed")
            and runs.get(words[1]) and words[1] in loans]
    print("crashes:", len(crashes), "loans that ran and were lost:",
          len(lost))
    stage.record("crashes", len(crashes), "lost", len(lost))
    if len(first) < 3:
        return []
    bound = sorted(first.values())[2] + STABILITY_WINDOW_S
    late = [words[1] for at, words in stage.record.lines
            if words[0] == "run" and ".same" in words[1] and at > bound]
    if len(set(late)) > 3:
        return [f"BUDGET: {len(set(late))} retries reached backends later than "
                f"stabilityWindowS after the third crash; {len(lost)} "
                f"loans ran and were lost with the backends"]
    return []


if __name__ == "__main__":
    scene.play(FOLDER, ZONES, story)
