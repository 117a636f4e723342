"""A minimal proxy on cheroot and pycurl, the baseline of the benchmarks.

It forwards every request to a random target, without queue, limit, retry
or outcome. It has the entry daemon's server settings and, like the daemon,
shares idle connections between threads by target: connections of its own
for each thread would use up the 64 connections that a worker accepts.
"""

import collections
import collections.abc
import io
import random
import signal

from cheroot import wsgi
import click
import pycurl

TIMEOUT_MS = 10_000
DROPPED_HEADERS = frozenset(
    {"connection", "content-length", "transfer-encoding"}
)


class Application:
    """A WSGI application that forwards to fixed targets."""

    def __init__(self, *, targets: tuple[str, ...]):
        self._targets = targets
        self._idle = {target: collections.deque() for target in targets}
        self._rng = random.Random(1)

    def __call__(
        self, environ: dict, start_response: collections.abc.Callable
    ) -> list[bytes]:
        """Forward one request (WSGI, PEP 3333)."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        target = self._rng.choice(self._targets)
        path = "/" + environ["PATH_INFO"].lstrip("/").partition("/")[2]
        curl = self._idle_handle(target)
        sink = io.BytesIO()
        lines: list[bytes] = []
        curl.setopt(pycurl.URL, target + path)
        curl.setopt(pycurl.HTTPHEADER, ["Expect:", *_headers(environ)])
        curl.setopt(pycurl.WRITEFUNCTION, sink.write)
        curl.setopt(pycurl.HEADERFUNCTION, lines.append)
        if body:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDSIZE, len(body))
            curl.setopt(pycurl.POSTFIELDS, body)
        else:
            curl.setopt(pycurl.HTTPGET, 1)
        curl.setopt(pycurl.CUSTOMREQUEST, environ["REQUEST_METHOD"])
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        self._idle[target].append(curl)
        answer = sink.getvalue()
        headers = list(_answer_headers(lines))
        headers.append(("Content-Length", str(len(answer))))
        start_response(f"{status} OK", headers)
        return [answer]

    def _idle_handle(self, target: str) -> pycurl.Curl:
        """Return an idle handle or a new one; deque operations are atomic."""
        try:
            return self._idle[target].pop()
        except IndexError:
            curl = pycurl.Curl()
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.TIMEOUT_MS, TIMEOUT_MS)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        return curl


def _headers(environ: dict) -> collections.abc.Iterator[str]:
    for name, value in environ.items():
        if name.startswith("HTTP_") and name not in (
            "HTTP_HOST",
            "HTTP_CONNECTION",
        ):
            yield f"{name[5:].replace('_', '-')}: {value}"


def _answer_headers(
    lines: list[bytes],
) -> collections.abc.Iterator[tuple[str, str]]:
    for line in lines:
        name, colon, value = line.decode("latin-1").partition(":")
        if colon and name.lower() not in DROPPED_HEADERS:
            yield name, value.strip()


@click.command()
@click.option("--listen", required=True, metavar="ADDRESS:PORT")
@click.option("--target", "targets", multiple=True, required=True)
@click.option("--threads", default=192, show_default=True)
def main(listen: str, targets: tuple[str, ...], threads: int) -> None:
    """Forward requests until told to stop."""
    address, _, port = listen.rpartition(":")
    server = wsgi.Server(
        (address, int(port)),
        Application(targets=targets),
        numthreads=threads,
        max=threads,
        request_queue_size=256,
    )
    server.nodelay = True
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        server.start()
    except KeyboardInterrupt:
        server.stop()


if __name__ == "__main__":
    main()
