import dataclasses

import pytest

from standins import client
from standins import processes

ADDRESS = "127.1.77.1"


@dataclasses.dataclass(slots=True, kw_only=True)
class Fleet:
    platform: client.Client
    control: client.Client
    worker: processes.Process

    def start_task(self, task_id, *, lease_ms=60_000):
        """Start a task and return its service port once it is open."""
        port = processes.free_port(ADDRESS)
        self.platform.put(
            f"/v1/tasks/{task_id}",
            host="grind-1",
            service="quoting",
            address=ADDRESS,
            port=port,
            lease_ms=lease_ms,
        )
        self.wait_state(task_id, "running")
        return port

    def task(self, task_id):
        tasks = self.platform.get("/v1/tasks?since=0")["tasks"]
        return next(task for task in tasks if task["id"] == task_id)

    def wait_state(self, task_id, state):
        processes.wait_for(
            lambda: self.task(task_id)["state"] == state,
            what=f"{task_id} is {state}",
        )

    def executions(self):
        return self.control.get("/control/executions?since=0")["executions"]


@pytest.fixture
def fleet(tmp_path):
    with processes.Processes(log_dir=tmp_path) as started:
        _, url = started.start_platform("--host-list-lag-ms", "300")
        worker, port = started.start_worker(
            platform=url, hosts={"grind-1": f"{ADDRESS}@nizwa-a"}
        )
        platform = client.Client(url=url)
        processes.wait_for(
            lambda: platform.get("/v1/hosts")["hosts"], what="registered"
        )
        control = client.Client(url=f"http://{ADDRESS}:{port}")
        yield Fleet(platform=platform, control=control, worker=worker)
