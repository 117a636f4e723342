"""Strategies for damaged messages: valid ones with one part changed."""

from hypothesis import strategies as st
import msgspec

HUGE = 1 << 70
DEPTH = 5000
"""Nesting that exceeds the interpreter's limit of recursion."""
DEEP = object()
"""A value that is encoded as lists nested ``DEPTH`` deep."""

SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-HUGE, HUGE),
    st.sampled_from((0, -1, 1 << 63, 1 << 64, 1e308, 1e999, -1e999, "", "x")),
    st.text(max_size=8),
    st.floats(),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=5,
)


@st.composite
def damaged(draw, valid):
    """Return a copy of ``valid`` with one part replaced, missing or added."""
    path = draw(st.sampled_from(list(_paths(valid))))
    if path and draw(_STOP):
        return _changed(valid, path, _MISSING)
    value = draw(st.one_of(VALUES, st.just(DEEP)))
    if draw(_STOP):
        return _with_field(valid, value)
    return _changed(valid, path, value)


def addresses():
    """Return a strategy for texts that look like addresses."""
    host = st.one_of(
        st.text(max_size=8),
        st.sampled_from(("10.0.0.1", "", "10.0.0.1.5", "a b", "a\x00")),
    )
    port = st.one_of(
        st.integers(-9, 99999).map(str),
        st.text(max_size=3),
        st.sampled_from(("8 0", "80\n", "80\x00", "\u0668")),
    )
    colon = st.sampled_from((":", "", "::", " :"))
    return st.builds("{}{}{}".format, host, colon, port)


_MISSING = object()


def _paths(valid, path=()):
    """Yield the path of each part of a message, with the whole first."""
    yield path
    match valid:
        case dict():
            for key, item in valid.items():
                yield from _paths(item, (*path, key))
        case list():
            for number, item in enumerate(valid):
                yield from _paths(item, (*path, number))


def _with_field(valid, value):
    """Return a copy with a field that no decoder declares."""
    if isinstance(valid, dict):
        return {**valid, "undeclared": value}
    return [*valid, value]


def _changed(valid, path, value):
    if not path:
        return value
    copy = valid.copy()
    if len(path) == 1 and value is _MISSING:
        del copy[path[0]]
    else:
        copy[path[0]] = _changed(valid[path[0]], path[1:], value)
    return copy


@st.composite
def json_bytes(draw, valid):
    """Return a damaged message as JSON, at times cut or with other bytes."""
    data = encode_json(draw(damaged(valid)))
    return draw(_bytes(data))


@st.composite
def msgpack_bytes(draw, valid):
    """Return a damaged record as MessagePack, at times cut."""
    value = draw(damaged(valid))
    try:
        data = encode_msgpack(value)
    except (OverflowError, msgspec.MsgspecError):
        data = b"\xc1"
    return draw(_bytes(data))


@st.composite
def _bytes(draw, data):
    if not draw(_STOP):
        return data
    cut = draw(st.integers(0, len(data)))
    return data[:cut] + draw(st.binary(max_size=4))


_STOP = st.sampled_from((True, False, False, False, False))


def encode_msgpack(value) -> bytes:
    """Encode a value, which may contain ``DEEP``."""
    return msgspec.msgpack.encode(value, enc_hook=_deep_msgpack)


def _deep_msgpack(value):
    assert value is DEEP
    return msgspec.Raw(b"\x91" * DEPTH + b"\xc0")


def encode_json(value) -> bytes:
    """Encode a value; integers and infinities as any writer may."""
    if value is DEEP:
        return b"[" * DEPTH + b"]" * DEPTH
    match value:
        case bool() | None | str():
            return msgspec.json.encode(value)
        case int():
            return str(value).encode()
        case float():
            text = repr(value)
            names = {"inf": "1e999", "-inf": "-1e999", "nan": "NaN"}
            return names.get(text, text).encode()
        case list():
            return b"[" + b",".join(map(encode_json, value)) + b"]"
        case dict():
            rows = (
                encode_json(str(key)) + b":" + encode_json(item)
                for key, item in value.items()
            )
            return b"{" + b",".join(rows) + b"}"
    raise TypeError(value)
