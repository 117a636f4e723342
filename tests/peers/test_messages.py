import hypothesis
from hypothesis import strategies as st
import pytest

from azurewood.conf import decoding
from azurewood.peers import exceptions
from azurewood.peers import messages
from azurewood.state import records

KEY = b"key-of-the-peers-in-tests"
SETTINGS = hypothesis.settings(
    derandomize=True, database=None, max_examples=300
)
ENVELOPE = messages.Envelope(
    sender="d1", message=messages.TailRequest(incarnation="i", offset=7)
)


def test_an_encoded_frame_can_be_decoded():
    frame = messages.encode(ENVELOPE, key=KEY)
    assert messages.decode(frame, key=KEY) == ENVELOPE


@SETTINGS
@hypothesis.given(place=st.integers(min_value=0), bit=st.integers(0, 7))
def test_a_frame_with_any_bit_changed_is_refused(place, bit):
    frame = bytearray(messages.encode(ENVELOPE, key=KEY))
    frame[place % len(frame)] ^= 1 << bit
    with pytest.raises(exceptions.PeerAuthenticationError):
        messages.decode(bytes(frame), key=KEY)


@SETTINGS
@hypothesis.given(data=st.binary(max_size=200))
def test_unauthenticated_bytes_are_refused(data):
    with pytest.raises(exceptions.PeerAuthenticationError):
        messages.decode(data, key=KEY)


@SETTINGS
@hypothesis.given(data=st.binary(max_size=200))
def test_any_authenticated_body_is_malformed_or_known(data):
    """A message of another version causes ``MalformedMessage`` at most."""
    frame = messages._tag(KEY, data) + data
    try:
        envelope = messages.decode(frame, key=KEY)
    except exceptions.MalformedMessage:
        return
    assert messages.encode(envelope, key=KEY)


@SETTINGS
@hypothesis.given(data=st.binary(max_size=300))
def test_any_record_is_malformed_or_known(data):
    try:
        record = records.decode(data)
    except decoding.MalformedData:
        return
    assert records.decode(records.encode(record)) == record
