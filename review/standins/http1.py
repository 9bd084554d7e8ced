"""Minimal HTTP/1.1 for the stand-ins: reads messages and formats them."""

import asyncio

HEAD_LIMIT = 1 << 20


class Message:
    """A request or a response; header names are in lower case."""

    def __init__(self, start, headers, body, closed_early=False):
        self.start = start
        self.headers = headers
        self.body = body
        self.closed_early = closed_early

    @property
    def method(self):
        return self.start[0]

    @property
    def target(self):
        return self.start[1]

    @property
    def status(self):
        return int(self.start[1])


async def read_message(reader, on_body_part=None):
    """Reads one message; returns None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    start = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = bytearray()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        left = int(headers.get("content-length", 0))
        while left > 0:
            part = await reader.read(min(left, 1 << 18))
            if not part:
                raise asyncio.IncompleteReadError(bytes(body), left)
            left -= len(part)
            if on_body_part:
                on_body_part(part)
            else:
                body += part
    return Message(start, headers, bytes(body))


def format_request(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def format_response(status, reason, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
