"""Stand-in for clients (PROTOCOL.md): they resolve, connect, send and retry."""

import asyncio
import json
import random
import time

from . import http1

RESOLVE_S = 1.0
CONNECT_S = 1.0
NO_RETRY = (400, 401, 404, 413, 431)
PROMISES = (408, 421, 429, 503)


class Reply:
    def __init__(self, status, headers=None, body=b"", was_kept=False):
        self.status = status  # None: the connection ended without an answer
        self.headers = headers or {}
        self.body = body
        self.was_kept = was_kept


class Client:
    """One client with a pool of one connection per gateway."""

    def __init__(self, record, directories, host, zone, pooled, seed):
        self.record = record
        self.directories = directories
        self.host = host
        self.zone = zone
        self.pooled = pooled
        self.random = random.Random(seed)
        self.addresses = []
        self.valid_until = 0.0
        self.failed = {}
        self.idle = {}

    async def _resolve(self):
        for directory in self.random.sample(self.directories,
                                            min(3, len(self.directories))):
            host, port = directory.rsplit(":", 1)
            try:
                async with asyncio.timeout(RESOLVE_S):
                    reader, writer = await asyncio.open_connection(host, port)
                    writer.write(http1.format_request(
                        "GET", f"/comfreyrill/resolve?name={self.host}"
                        f"&region=r&zone={self.zone}", {"Host": directory}))
                    answer = await http1.read_message(reader)
                    writer.close()
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                continue
            if answer and answer.status == 200:
                found = json.loads(answer.body)
                self.addresses = found["addresses"]
                self.valid_until = time.monotonic() + min(found["ttlS"], 5)
                self.idle = {a: c for a, c in self.idle.items()
                             if a in self.addresses}
                return

    async def _connect(self, may_be_kept):
        """Returns an open connection and whether it was kept."""
        if time.monotonic() > self.valid_until:
            await self._resolve()
        if self.pooled and may_be_kept:
            for address in list(self.idle):
                reader, writer, since = self.idle.pop(address)
                if (time.monotonic() - since < 12 and not reader.at_eof()
                        and not writer.is_closing()):
                    return address, reader, writer, True
                writer.close()
        now = time.monotonic()
        usable = [a for a in self.addresses if self.failed.get(a, 0) < now]
        address = self.random.choice(usable or self.addresses or [None])
        if address is None:
            raise OSError("no address")
        host, port = address.rsplit(":", 1)
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            self.failed[address] = now + 2
            raise OSError("no connection") from None
        return address, reader, writer, False

    async def attempt(self, request_id, method, path, limit_s, body=b"",
                      tag="", may_be_kept=True):
        """Sends one client attempt and returns its reply."""
        try:
            address, reader, writer, kept = await self._connect(may_be_kept)
        except OSError:
            self.record("unsent", request_id, tag)
            return Reply(None)
        started = time.monotonic()
        self.record("sent", request_id, method, path, address,
                    "kept" if kept else "new", len(body), tag)
        answer = None
        try:
            async with asyncio.timeout(limit_s):
                writer.write(http1.format_request(method, path, {
                    "Host": self.host, "Request-Id": request_id,
                    "Request-Deadline": str(int(limit_s * 1000))}, body))
                await writer.drain()
                answer = await http1.read_message(reader)
            outcome = "closed" if answer is None else str(answer.status)
        except TimeoutError:
            outcome = "timeout"
        except (ConnectionError, asyncio.IncompleteReadError):
            outcome = "reset"
        took = time.monotonic() - started
        self.record("answered", request_id, outcome, f"{took * 1000:.0f}ms",
                    address, "kept" if kept else "new")
        if answer is None:
            if outcome != "timeout":
                self.failed[address] = time.monotonic() + 2
            writer.close()
            return Reply(None, {"outcome": outcome}, was_kept=kept)
        if (self.pooled and answer.headers.get("connection", "") != "close"):
            self.idle[address] = (reader, writer, time.monotonic())
        else:
            writer.close()
        return Reply(answer.status, answer.headers, answer.body, kept)

    async def request(self, work_id, method, path, limit_s, repeatable,
                      retries=1, body=b""):
        """Sends a request with the client's own retries; returns the last
        reply. Each attempt has its own id."""
        deadline = time.monotonic() + limit_s
        reply = Reply(None)
        for number in range(retries + 1):
            left = deadline - time.monotonic()
            if left <= 0.01:
                break
            reply = await self.attempt(f"{work_id}-{number}", method, path,
                                       left, body, work_id,
                                       may_be_kept=number == 0)
            if reply.status and (reply.status < 300
                                 or reply.status in NO_RETRY):
                break
            if not repeatable and reply.status not in PROMISES:
                break
            wait = float(reply.headers.get("retry-after", 0))
            left = deadline - time.monotonic()
            await asyncio.sleep(max(0.0, min(wait, left / 3)))
        return reply
