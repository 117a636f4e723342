import contextlib
import http.server
import threading

import msgspec
import pytest

from azurewood.operators import client as clients
from azurewood.operators import exceptions
from azurewood.operators import messages
from azurewood.state import effects
from azurewood.state import records
from standins import processes

PROPOSAL = records.Proposal(
    object=records.IN_FORCE, base=3, change=records.UsePreset(name="peak")
)
LOST = "lost"
Resolution = effects.Resolution


def ended(resolution):
    resolved = effects.Resolved(
        id="w/1/0", object=records.IN_FORCE, resolution=resolution, revision=4
    )
    return 200, msgspec.json.encode(
        messages.ProposalAnswer(resolved=(resolved,))
    )


@pytest.fixture
def daemon():
    """Return a function that starts a daemon with a fixed answer."""
    with contextlib.ExitStack() as stack:
        yield lambda answer: stack.enter_context(serving(answer))


@contextlib.contextmanager
def serving(answer):
    seen = []

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_POST(self):
            size = int(self.headers["Content-Length"])
            seen.append(msgspec.json.decode(self.rfile.read(size)))
            if answer == LOST:
                self.close_connection = True
                return
            status, data = answer
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *args):
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, args=(0.05,))
    thread.start()
    try:
        yield f"http://127.0.0.1:{server.server_address[1]}", seen
    finally:
        server.shutdown()
        server.server_close()
        thread.join()


def closed():
    return f"http://127.0.0.1:{processes.free_port()}"


def propose(*urls):
    client = clients.OperatorsClient(
        daemons=urls, token="t", operator="mariam"
    )
    return client.propose(PROPOSAL, timeout_s=0.5)


def test_the_next_daemon_is_asked_with_the_same_ticket(daemon):
    lost, first = daemon(LOST)
    good, second = daemon(ended(Resolution.ACCEPTED))
    found = propose(closed(), lost, good)
    assert found.resolution == Resolution.ACCEPTED
    assert first[0] == second[0]
    assert found.id == f"{first[0]['ticket']}.0"
    assert messages.author(first[0]["ticket"]) == "mariam"


@pytest.mark.parametrize(
    "others",
    [
        [],
        [ended(Resolution.NOT_ACCEPTED)],
        [ended(Resolution.UNKNOWN)],
        [(401, b'{"error": "wrong token"}')],
        [(503, b"{}")],
        [LOST],
    ],
)
def test_a_lost_answer_gives_unknown_with_the_id(daemon, others):
    lost, seen = daemon(LOST)
    found = propose(lost, *(daemon(answer)[0] for answer in others))
    assert found.resolution == Resolution.UNKNOWN
    assert found.id == f"{seen[0]['ticket']}.0"


def test_a_lost_answer_stays_unknown_after_a_malformed_one(daemon):
    lost, seen = daemon(LOST)
    malformed, _ = daemon((200, b"{"))
    found = propose(lost, malformed)
    assert found.resolution == Resolution.UNKNOWN
    assert found.id == f"{seen[0]['ticket']}.0"


def test_status_504_gives_unknown(daemon):
    url, _ = daemon((504, b'{"error": "late", "ids": ["x"]}'))
    assert propose(url).resolution == Resolution.UNKNOWN


def test_a_proposal_that_was_never_sent_is_not_unknown(daemon):
    with pytest.raises(exceptions.DaemonsUnreachable):
        propose(closed(), closed())
    url, _ = daemon(ended(Resolution.NOT_ACCEPTED))
    assert propose(closed(), url).resolution == Resolution.NOT_ACCEPTED


def test_a_refusal_and_a_malformed_answer_are_errors(daemon):
    url, _ = daemon((401, b'{"error": "wrong or no token"}'))
    with pytest.raises(exceptions.RequestRefused, match="wrong or no token"):
        propose(url)
    url, _ = daemon((200, b"{"))
    with pytest.raises(exceptions.OperatorsError, match="malformed"):
        propose(url)
