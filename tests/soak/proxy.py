"""A loopback proxy whose links can delay, reset, block or refuse traffic.

Bytes that a blocked link holds back are delivered when the fault ends, as
TCP retransmissions would be. Requests may therefore arrive seconds late.
"""

import asyncio
import contextlib
import dataclasses
import re
import socket
import struct
import threading

from werkzeug import wrappers

CHUNK_BYTES = 1 << 16
NO_ANSWER_HEADER = "X-No-Answer"
"""An answer with this header is dropped, and all later ones with it."""
RESET_HEADER = "X-Reset-Connection"
"""An answer with this header resets its connection instead."""
RESET = re.compile(rf"{RESET_HEADER}: (\w+) ([\d.]+)".encode())
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
POLL_S = 0.01


def reset_answer(kind, for_s):
    """Return an answer that resets its connection.

    If the kind is ``refuse`` or ``silence``, its link does that for a time.
    """
    return wrappers.Response(headers={RESET_HEADER: f"{kind} {for_s:.3f}"})


@dataclasses.dataclass(slots=True, kw_only=True)
class Link:
    """A port that forwards connections to another port of its ``ip``.

    ``delay_s`` applies to each direction. ``to_target`` and ``to_caller``
    enable forwarding in each direction. A link that is not ``open`` refuses
    new connections; `Proxy.reset` ends the existing ones.
    """

    name: str
    ip: str
    port: int
    target: int
    delay_s: float = 0.0
    to_target: bool = True
    to_caller: bool = True
    open: bool = True

    @property
    def address(self):
        """Return the address and port on which the link listens."""
        return f"{self.ip}:{self.port}"

    def restore(self):
        """Remove the link's faults."""
        self.delay_s = 0.0
        self.to_target = self.to_caller = self.open = True


class Proxy:
    """All links of a run, served by one event loop thread."""

    def __init__(self):
        self.links = {}
        self._writers = {}
        self._servers = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def add(self, name, ip, port, target):
        """Open a link from one port of an address to another."""
        link = Link(name=name, ip=ip, port=port, target=target)
        self.links[name] = link
        self._writers[name] = set()
        serving = self._serve(link)
        asyncio.run_coroutine_threadsafe(serving, self._loop).result(5)
        return link

    async def _serve(self, link):
        self._servers[link.name] = await asyncio.start_server(
            lambda r, w: self._connected(link, r, w), link.ip, link.port
        )

    def reset(self, name):
        """Abort a link's connections without sending buffered data."""
        self._loop.call_soon_threadsafe(self._abort, name)

    def end_cut(self, link):
        """Abort a link's connections, then remove its faults.

        Nothing that the link holds back is delivered.
        """
        self.reset(link.name)
        self._loop.call_soon_threadsafe(link.restore)

    def close(self):
        """Abort all connections and stop the thread."""
        for name in self.links:
            self.reset(name)
        for server in self._servers.values():
            self._loop.call_soon_threadsafe(server.close)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    def _abort(self, name):
        for writer in list(self._writers[name]):
            writer.transport.abort()

    async def _reset_one(self, link, writer, kind, for_s):
        """Reset a connection; then its link may refuse or hold calls."""
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
        server = self._servers[link.name]
        if kind == "silence":
            link.to_target = link.to_caller = False
            await asyncio.sleep(for_s)
            link.restore()
        elif kind == "refuse" and server.is_serving():
            server.close()
            self._abort(link.name)
            await asyncio.sleep(for_s)
            await self._serve(link)

    async def _connected(self, link, reader, writer):
        writers = self._writers[link.name]
        if not link.open:
            writer.transport.abort()
            return
        try:
            back, forth = await asyncio.open_connection(link.ip, link.target)
        except OSError:
            writer.transport.abort()
            return
        writers.update((writer, forth))
        await asyncio.gather(
            self._pump(link, reader, forth, "to_target"),
            self._pump(link, back, writer, "to_caller"),
        )
        writers.difference_update((writer, forth))

    async def _pump(self, link, reader, writer, direction):
        """Forward bytes in one direction until a connection ends."""
        with contextlib.suppress(OSError):
            answered = True
            while data := await reader.read(CHUNK_BYTES):
                if direction == "to_caller" and (reset := RESET.search(data)):
                    kind, for_s = reset[1].decode(), float(reset[2])
                    await self._reset_one(link, writer, kind, for_s)
                    break
                if direction == "to_caller" and answered:
                    answered = NO_ANSWER_HEADER.encode() not in data
                if not answered:
                    continue
                if link.delay_s:
                    await asyncio.sleep(link.delay_s)
                while not getattr(link, direction):
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
        writer.close()
