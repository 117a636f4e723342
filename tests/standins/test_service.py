import threading
import time

import pytest

from standins.platform import service


@pytest.mark.parametrize("fault", ("down", "hang"))
def test_a_poll_that_begins_to_wait_as_a_fault_is_set_ends(fault):
    platform = service.Platform()
    platform.start()
    platform.faults.update({fault: True})
    platform.interrupt()
    poll = threading.Thread(
        target=platform.log.read,
        args=("s", 0),
        kwargs={"deadline": time.monotonic() + 60},
        daemon=True,
    )
    poll.start()
    poll.join(10)
    platform.close()
    assert not poll.is_alive()
