"""The stand-in of the users' platform, with a link to each machine."""

import time

from werkzeug import wrappers

from tests.platform import standin

APPEND_DELAY_S = 0.004
HOST_CALLS = frozenset(
    {"/api/run-start", "/api/run-stop", "/api/pace", "/api/hold"}
)


class SoakServer(standin.Server):
    """Gives each machine's hosts the address of the machine's link.

    A call that is meant for a host that is not there any more is answered
    as by another life.
    """

    def __init__(self, *, ip, port, pools):
        self.links = {}
        super().__init__(ip=ip, port=port, pools=pools)

    def link_machines(self, links):
        """Take each machine's link and say the new addresses."""
        with self.lock:
            self.links = links
            self.advance()
            for host in self.world.hosts.values():
                self.world.say(host)

    def advance(self):
        """Let the world's time follow real time."""
        end = 1000.0 + time.monotonic() - self.started_at
        for host in self.world.hosts.values():
            self._address(host)
        self.world.clock.run_until(end)
        for host in self.world.hosts.values():
            self._address(host)

    def _address(self, host):
        link = self.links.get(host.machine)
        wanted = link.address if link else self.address
        if host.address != wanted:
            host.address = wanted
            if host.up:
                self.world.say(host)

    def _answer(self, req):
        if req.path in HOST_CALLS:
            host = self.world.hosts.get(req.headers["X-Target-Instance"])
            if host is None or not host.up:
                return wrappers.Response(status=421)
        if req.path == "/api/log-append":
            time.sleep(APPEND_DELAY_S)
        return super()._answer(req)
