import io
import json

from loguru import logger
import pytest

from azurewood.log import setup

SECRET = 'pa"ss\\word'


@pytest.fixture
def lines():
    streams = []

    def configure(format, level="info"):
        stream = io.StringIO()
        streams.append(stream)
        setup.configure(
            level=level,
            format=format,
            zone="volos",
            daemon="volos-1",
            secrets=(SECRET, ""),
            stream=stream,
        )
        return lambda: stream.getvalue().splitlines()

    yield configure
    logger.remove()


def test_json_lines_carry_zone_daemon_and_request(lines):
    read = lines("json")
    logger.debug("below the level")
    with setup.request("r-1"):
        logger.info("started on {}", "h1", host="h1")
    logger.info("later")
    first, later = map(json.loads, read())
    assert first["message"] == "started on h1"
    assert (first["zone"], first["daemon"]) == ("volos", "volos-1")
    assert (first["request_id"], first["host"]) == ("r-1", "h1")
    assert first["level"] == "info"
    assert "request_id" not in later


@pytest.mark.parametrize("format", ["json", "text"])
def test_secrets_are_hidden_in_every_line(lines, format):
    read = lines(format)
    try:
        raise ValueError(SECRET)
    except ValueError:
        logger.bind(header=SECRET).exception("refused {}", SECRET)
    (line,) = read()
    assert line.count(setup.HIDDEN) >= 3
    assert "ss\\word" not in line.replace("\\\\", "\\")


def test_a_value_cannot_forge_a_text_line(lines):
    read = lines("text")
    logger.info("path {}", "/a\nforged\x1b[2J\x85")
    (line,) = read()
    assert "\\x0aforged\\x1b[2J\\x85" in line
