"""Stand-in for the platform's metadata store (PROTOCOL.md)."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from . import http1

PREFIX = "/comfreyrill/objects/"
PAGE_OBJECTS = 50
PAGE_BYTES = 1 << 20


class Store:
    """Holds objects as JSON text, so that an entry keeps the bytes of its
    writer."""

    def __init__(self):
        self.revision = 500
        self.objects = {}
        self.events = []
        self.oldest = self.revision
        self.changed = asyncio.Event()
        self.calls = 0
        self.server = None
        self.address = None

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def put(self, kind, name, spec):
        self.put_text(kind, name, json.dumps(spec))

    def put_text(self, kind, name, spec_text):
        """Writes an object whose spec is given as JSON text."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known and known[1] == spec_text:
            return
        self.revision += 1
        created = known[2] if known else self.revision
        text = self._object_text(name, spec_text, created)
        self.objects[kind][name] = (text, spec_text, created)
        self._record(kind, text, False)

    def remove(self, kind, name):
        known = self.objects.get(kind, {}).pop(name, None)
        if known:
            self.revision += 1
            self._record(kind, self._object_text(name, known[1], known[2]), True)

    def _object_text(self, name, spec_text, created):
        metadata = {"name": name, "revision": self.revision,
                    "createRev": created, "finalizers": [],
                    "deletePending": False}
        return (f'{{"metadata":{json.dumps(metadata)},"spec":{spec_text},'
                '"status":null}')

    def _record(self, kind, text, deleted):
        flag = "true" if deleted else "false"
        self.events.append((self.revision, kind,
                            f'{{"deleted":{flag},"object":{text}}}'))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await http1.read_message(reader)
                if request is None:
                    break
                self.calls += 1
                status, body = await self._answer(request)
                await asyncio.sleep(0.004)
                writer.write(http1.format_response(
                    status, "OK" if status == 200 else "Error",
                    {"Content-Type": "application/json", "Store-Era": "0"},
                    body.encode("latin-1", "surrogateescape")
                    if isinstance(body, str) else body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        split = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(split.query).items()}
        if request.method != "GET" or not split.path.startswith(PREFIX):
            return 404, "{}"
        kind, _, name = split.path[len(PREFIX):].partition("/")
        if name:
            known = self.objects.get(kind, {}).get(name)
            return (200, known[0]) if known else (404, "{}")
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]),
                                     int(query.get("waitMs", 0)) / 1000)
        return 200, self._list(kind, query.get("after", ""))

    def _list(self, kind, after):
        names = sorted(n for n in self.objects.get(kind, {}) if n > after)
        items, size = [], 0
        for name in names[:PAGE_OBJECTS]:
            text = self.objects[kind][name][0]
            if items and size + len(text) > PAGE_BYTES:
                break
            items.append(text)
            size += len(text)
        more = "true" if len(items) < len(names) else "false"
        return (f'{{"items":[{",".join(items)}],"hasMore":{more},'
                f'"currentRev":{self.revision}}}')

    async def _watch(self, kind, since, wait):
        if since < self.oldest or since > self.revision:
            return 410, "{}"
        deadline = asyncio.get_running_loop().time() + min(wait, 30)
        while True:
            found = [e for r, k, e in self.events if k == kind and r > since]
            left = deadline - asyncio.get_running_loop().time()
            if found or left <= 0:
                return 200, (f'{{"events":[{",".join(found)}],'
                             f'"currentRev":{self.revision}}}')
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
