"""A platform stand-in that reaches each machine through its own link."""

import time

from werkzeug import wrappers

from tests.platform import standin

APPEND_DELAY_S = 0.004
HOST_CALLS = frozenset(
    {"/api/run-start", "/api/run-stop", "/api/pace", "/api/hold"}
)


class SoakServer(standin.Server):
    """Lists each machine's hosts under the address of the machine's link.

    A call to a host that no longer runs is answered with status 421, as a
    later incarnation at the same address would answer it.
    """

    def __init__(self, *, ip, port, pools):
        self.links = {}
        super().__init__(ip=ip, port=port, pools=pools)

    def link_machines(self, links):
        """Set each machine's link and publish the new host addresses."""
        with self.lock:
            self.links = links
            self.advance()
            for host in self.world.hosts.values():
                self.world.publish_entry(host)

    def advance(self):
        """Advance the simulated clock to the elapsed real time."""
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
                self.world.publish_entry(host)

    def _answer(self, req):
        if req.path in HOST_CALLS:
            host = self.world.hosts.get(req.headers["X-Target-Instance"])
            if host is None or not host.up:
                return wrappers.Response(status=421)
        if req.path == "/api/log-append":
            time.sleep(APPEND_DELAY_S)
        return super()._answer(req)
