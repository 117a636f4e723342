"""Kinds of settings, and the parsing of their values from text."""

import dataclasses
import ipaddress
import re
import typing
import urllib.parse

NAME: typing.Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,79}")
NUMBER: typing.Final = re.compile(r"[0-9]{1,18}")
PORT: typing.Final = re.compile(r"[0-9]{1,5}")
MAX_PORT: typing.Final = 65535


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclasses.dataclass(slots=True, kw_only=True)
class Name:
    """A name of letters, digits, '-', '_' and '.'."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Secret:
    """A text that is never shown, of at least ``minimum`` characters."""

    minimum: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Choice:
    """One of the words in ``choices``."""

    choices: tuple[str, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class Number:
    """A whole number from ``low`` to ``high``, both included."""

    low: int
    high: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Listen:
    """An `Address`, written as ``127.0.0.1:8080`` or ``[::1]:8080``."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Url:
    """A URL without a path, such as ``tcp://127.0.0.1:9000``."""

    schemes: tuple[str, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class Urls:
    """A list of URLs separated by commas, which may be empty."""

    schemes: tuple[str, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class FilePath:
    """The path of a file in the file system."""


Kind = Name | Secret | Choice | Number | Listen | Url | Urls | FilePath
Value = str | int | Address | tuple[str, ...] | None


def parse(kind: Kind, text: str) -> Value:
    """Parse ``text`` as a value of the given kind.

    Raise ValueError if it is invalid. The message does not contain the
    value of a secret.
    """
    match kind:
        case Name():
            return _parse_name(text)
        case Secret(minimum=minimum):
            if len(text) < minimum:
                raise ValueError(f"is shorter than {minimum} characters")
            return text
        case Choice(choices=choices):
            if text not in choices:
                raise ValueError(f"{text!r} is not one of {describe(kind)}")
            return text
        case Number():
            return _parse_number(kind, text)
        case Listen():
            return parse_address(text)
        case Url(schemes=schemes):
            return _parse_url(text, schemes)
        case Urls(schemes=schemes):
            parts = [part.strip() for part in text.split(",")]
            return tuple(_parse_url(part, schemes) for part in parts if part)
        case FilePath():
            return text


def describe(kind: Kind) -> str:
    """Return the kind in words, for help and reference."""
    match kind:
        case Name():
            return "name"
        case Secret(minimum=minimum):
            return f"secret of at least {minimum} characters"
        case Choice(choices=choices):
            return ", ".join(choices)
        case Number(low=low, high=high):
            return f"number from {low} to {high}"
        case Listen():
            return "IP number and port"
        case Url(schemes=schemes):
            return " or ".join(f"{word}://IP:PORT" for word in schemes)
        case Urls(schemes=schemes):
            url = describe(Url(schemes=schemes))
            return f"{url}, with commas between"
        case FilePath():
            return "path"


def parse_address(text: str) -> Address:
    """Parse an IP address with a port; raise ValueError if it is invalid."""
    host, colon, port = text.rpartition(":")
    if not colon or not PORT.fullmatch(port):
        raise ValueError(f"{text!r} has no port")
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"port {port} is not between 1 and {MAX_PORT}")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        number = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ValueError(f"{host!r} is not an IP address") from None
    if bracketed != (number.version == 6):
        raise ValueError(
            "brackets are required for IPv6 addresses and not allowed for IPv4"
        )
    return Address(host=str(number), port=int(port))


def _parse_name(text: str) -> str:
    if not NAME.fullmatch(text):
        raise ValueError(f"{text!r} is not a valid name")
    return text


def _parse_number(kind: Number, text: str) -> int:
    if not NUMBER.fullmatch(text):
        raise ValueError(f"{text!r} is not a whole number")
    if not kind.low <= int(text) <= kind.high:
        raise ValueError(f"{text} is not between {kind.low} and {kind.high}")
    return int(text)


def _parse_url(text: str, schemes: tuple[str, ...]) -> str:
    scheme, _, rest = text.partition("://")
    if scheme not in schemes:
        raise ValueError(f"{text!r} does not begin with {schemes[0]}://")
    address = parse_address(rest.removesuffix("/"))
    return urllib.parse.urlunsplit((scheme, str(address), "", "", ""))


def metavar(kind: Kind) -> str:
    """Return the placeholder for a value in the help of a command."""
    match kind:
        case Choice(choices=choices):
            return "|".join(choices)
        case Listen():
            return "IP:PORT"
        case FilePath():
            return "PATH"
        case _:
            return type(kind).__name__.upper()
