"""Strategies for damaged messages: valid ones with one part replaced."""

from hypothesis import strategies as st
import msgspec

HUGE = 1 << 70

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
    """Return a copy of ``valid`` in which one part is replaced or missing."""
    path = draw(st.sampled_from(list(_paths(valid))))
    if path and draw(_STOP):
        return _changed(valid, path, _MISSING)
    return _changed(valid, path, draw(VALUES))


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
    data = _json(draw(damaged(valid)))
    return draw(_bytes(data))


@st.composite
def msgpack_bytes(draw, valid):
    """Return a damaged record as MessagePack, at times cut."""
    value = draw(damaged(valid))
    try:
        data = msgspec.msgpack.encode(value)
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


def _json(value) -> bytes:
    """Encode a value; integers and infinities as any writer may."""
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
            return b"[" + b",".join(map(_json, value)) + b"]"
        case dict():
            rows = (
                _json(str(key)) + b":" + _json(item)
                for key, item in value.items()
            )
            return b"{" + b",".join(rows) + b"}"
    raise TypeError(value)
