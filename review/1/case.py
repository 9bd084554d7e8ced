"""A second, late copy of a 503 answer meets the retry of the same request."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import scene  # noqa: E402

ZONES = ["walsall", "lichfield", "redditch"] * 4
PLAY_S = 100
# Requests a second of all clients together.
RATE = 40
LIMIT_S = 2.0
# Now and then the two backends, which share a machine, have no room for a
# moment and turn requests away.
BUSY_EVERY_S = 0.36
SPELL_S = 5.0
GAP_S = 1.0
BUSY_S = 0.12
RETRY_AFTER_S = 0.15
# Dose of `garble`, how `extra late`: one of the two backends of the service,
# and this share of its answers. The pages set no bound on how late the second
# copy comes.
EXTRA_SHARE = 0.03
EXTRA_DELAY_S = (0.21, 0.29)


def configuration():
    return {"version": "r7", "routes": [
        scene.route("r-book", "/book/", "non_idempotent", "dispatch", 1.0, 0.3,
                    priority=0, attempts=4),
        scene.route("r-stock", "/stock/", "read_only", "ledger", 1.5, 0.4, 2)],
        "services": [{"name": name, "healthPath": "/health",
                      "maxConnections": 260, "protocol": "h1", "tls": False}
                     for name in ("dispatch", "ledger")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                   "headerTimeoutS": 3, "idleTimeoutS": 15}}


async def shed(record, backends):
    """Spells in which the backends turn a third of the time away."""
    while True:
        record("shed", "begins")
        for _ in range(int(SPELL_S / BUSY_EVERY_S)):
            await asyncio.sleep(BUSY_EVERY_S - BUSY_S)
            for backend in backends:
                backend.retry_after = RETRY_AFTER_S
            await asyncio.sleep(BUSY_S)
            for backend in backends:
                backend.retry_after = None
        record("shed", "ends")
        await asyncio.sleep(GAP_S)


async def garble(record, backend):
    def draw():
        if backend.random.random() >= EXTRA_SHARE:
            return None
        return backend.random.uniform(*EXTRA_DELAY_S)

    while True:
        record("garble", backend.name, "begins")
        backend.extra_delay = draw
        await asyncio.sleep(SPELL_S)
        record("garble", backend.name, "ends")
        backend.extra_delay = lambda: None
        await asyncio.sleep(GAP_S)


async def story(stage):
    desks = [stage.backend(f"i-desk{n}", "dispatch", ZONES[n], 6, 0.11)
             for n in range(2)]
    stock = [stage.backend(f"i-stock{n}", "ledger", ZONES[n], 6, 0.16)
             for n in range(2)]
    await stage.open(configuration(), desks + stock)
    if stage.trouble:
        stage.tasks.append(asyncio.create_task(garble(stage.record, desks[0])))
    busy = asyncio.create_task(shed(stage.record, desks))
    clients = [stage.client(n, pooled=n % 2 == 0) for n in range(24)]
    work = []
    for number in range(int(PLAY_S * RATE)):
        client = clients[number % len(clients)]
        name = f"{stage.seed}.{number}"
        if number % 3:
            call = client.request(name, "POST", f"/book/{number}", LIMIT_S,
                                  repeatable=False, retries=2,
                                  body=b"x" * 300)
        else:
            call = client.request(name, "GET", f"/stock/{number}", 3.0,
                                  repeatable=True, retries=2)
        work.append(asyncio.create_task(call))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*work)
    busy.cancel()
    await asyncio.sleep(1)
    return judge(stage)


def judge(stage):
    """REFUSED: answered 429, 503, 408 or 421 and has run. TWICE: run twice."""
    runs = stage.runs()
    bookings = {words[1] for _, words in stage.record.lines
                if words[0] == "sent" and words[2] == "POST"}
    broken = []
    statuses = {}
    for at, words in stage.record.lines:
        if words[0] != "answered":
            continue
        statuses[words[2]] = statuses.get(words[2], 0) + 1
        if (words[2] in ("408", "421", "429", "503") and runs.get(words[1])
                and words[1] in bookings):
            broken.append(f"REFUSED: {words[1]} answered {words[2]} at "
                          f"{at:.3f} s and has run")
    broken += [f"TWICE: {name} ran {count} times"
               for name, count in runs.items()
               if count > 1 and name in bookings]
    print("answers:", statuses)
    return broken


if __name__ == "__main__":
    scene.play(FOLDER, ZONES, story)
