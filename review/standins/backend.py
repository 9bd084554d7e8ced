"""Stand-in for a backend (PROTOCOL.md)."""

import asyncio
import hashlib
import random
import time

from . import http1


class Backend:
    """One process of a backend. Runs at most `slots` requests at a time and
    queues a few more."""

    QUEUE = 4

    def __init__(self, record, name, service, zone, slots, work_s, seed=0,
                 health_path="/health"):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.health_path = health_path
        self.random = random.Random(seed)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.server = None
        self.address = None
        self.connections = set()
        # Seconds that a rejection asks for; set while requests are rejected.
        self.retry_after = None
        # Returns the delay of a second copy of an answer, or None.
        self.extra_delay = lambda: None

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=http1.HEAD_LIMIT, backlog=256)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def registration(self, state="ready"):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "coldLeftS": 0, "sequence": self.sequence,
                "born": self.born}

    def exit(self):
        """Ends the process: closes the port and all connections."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def _load(self):
        return f"{self.running},{self.waiting},{self.slots},100"

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await http1.read_message(reader)
                if request is None:
                    break
                answer = await self._handle(request)
                writer.write(answer)
                await writer.drain()
                delay = self.extra_delay()
                if delay is not None:
                    asyncio.get_running_loop().call_later(
                        delay, self._send_extra, writer, answer,
                        request.headers.get("request-id"))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def _send_extra(self, writer, answer, request_id):
        if not writer.transport.is_closing():
            self.record("extra", request_id, self.name,
                        answer.split(b"\r\n")[0].decode())
            writer.write(answer)

    async def _handle(self, request):
        request_id = request.headers.get("request-id", "")
        headers = {"Request-Id": request_id, "Backend-Id": self.name}
        if request.target == self.health_path:
            headers["Backend-Load"] = self._load()
            return http1.format_response(200, "OK", headers)
        headers.pop("Backend-Id")
        expected = request.headers.get("expected-instance")
        if expected and expected != self.name:
            headers["Backend-Id"] = self.name
            return http1.format_response(421, "Misdirected Request", headers)
        if not request_id:
            return http1.format_response(400, "Bad Request",
                                         {"Not-Executed": "1"})
        if self.retry_after is not None:
            self.record("rejected", request_id, self.name)
            headers["Not-Executed"] = "1"
            headers["Retry-After"] = str(self.retry_after)
            return http1.format_response(503, "Service Unavailable", headers)
        if self.running >= self.slots and self.waiting >= self.QUEUE:
            self.record("rejected", request_id, self.name)
            headers["Not-Executed"] = "1"
            return http1.format_response(503, "Service Unavailable", headers)
        return await self._run(request, request_id, headers)

    async def _run(self, request, request_id, headers):
        received = time.monotonic()
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            limit = float(request.headers.get("request-deadline", 10000)) / 1000
            if time.monotonic() - received > limit:
                headers["Not-Executed"] = "1"
                return http1.format_response(503, "Service Unavailable",
                                             headers)
            self.running += 1
            self.record("run", request_id, self.name, self.service,
                        request.method, request.target)
            work = self.work_s * self.random.uniform(0.7, 1.3)
            await asyncio.sleep(min(work, max(limit, 0)))
            self.running -= 1
        finally:
            self.free.release()
        if work > limit:
            return http1.format_response(504, "Gateway Timeout", headers)
        body = hashlib.sha256(request_id.encode()).hexdigest().encode()
        headers["Response-Signature"] = f"{self.name}.{request_id}"
        headers["Backend-Load"] = self._load()
        return http1.format_response(200, "OK", headers, body)
