"""Declaration of settings, and their lazy loading and validation.

A settings class is a data class whose fields are created by `setting`. The
flags, environment variables and reference page are derived from the fields.
"""

from collections import abc
import dataclasses
import typing

from azurewood.checks import base
from azurewood.conf import exceptions
from azurewood.conf import kinds

PREFIX: typing.Final = "AZUREWOOD_"
METADATA_KEY: typing.Final = "setting"


@dataclasses.dataclass(slots=True, kw_only=True)
class Setting:
    """The declaration of a setting.

    ``default`` is a text as given for a flag. It is None if a value is
    required, and empty if the setting is off by default.
    """

    name: str
    kind: kinds.Kind
    help: str
    unit: str
    default: str | None

    @property
    def flag(self) -> str:
        """The command-line flag, such as ``--peers-listen``."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable, such as ``AZUREWOOD_PEERS_LISTEN``."""
        return PREFIX + self.name.upper()

    @property
    def secret(self) -> bool:
        """Whether the value must not appear in any output."""
        return isinstance(self.kind, kinds.Secret)


def setting(
    *, kind: kinds.Kind, help: str, unit: str = "", default: str | None = None
) -> typing.Any:
    """Return a data class field that declares a setting."""
    declared = Setting(
        name="", kind=kind, help=help, unit=unit, default=default
    )
    return dataclasses.field(
        metadata={METADATA_KEY: declared}, repr=not declared.secret
    )


def declared(cls: type) -> abc.Iterator[Setting]:
    """Yield the settings of a settings class in order of declaration."""
    for field in dataclasses.fields(cls):
        yield dataclasses.replace(
            field.metadata[METADATA_KEY], name=field.name
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Candidate:
    """Settings to be validated; a value that could not be parsed is None.

    ``places`` maps each setting to the flag or variable that its value
    comes from. ``faulty`` holds the settings that could not be parsed.
    """

    settings: typing.Any
    places: dict[str, str]
    faulty: frozenset[str]

    def readable(self, *names: str) -> bool:
        """Return whether all the named settings could be parsed."""
        return self.faulty.isdisjoint(names)


class LazySettings:
    """Settings that are loaded and validated on first access.

    ``flags`` maps setting names to the values of flags, None if a flag was
    not given. Flags override the variables in ``environ``.
    """

    def __init__(
        self,
        *,
        cls: type,
        flags: abc.Mapping[str, str | None],
        environ: abc.Mapping[str, str],
    ) -> None:
        self._cls = cls
        self._flags = flags
        self._environ = environ
        self._loaded = None

    def __getattr__(self, name: str) -> typing.Any:
        if name.startswith("_"):
            raise AttributeError(name)
        return getattr(self.load(), name)

    def load(self) -> typing.Any:
        """Return the validated settings.

        Raise InvalidSettings with all findings if any is an error.
        """
        if self._loaded is None:
            candidate, findings = self._read()
            findings.extend(base.run(self._cls.CHECKS, candidate))
            if base.errors(findings):
                raise exceptions.InvalidSettings(findings)
            self._loaded = candidate.settings
        return self._loaded

    def _read(self) -> tuple[Candidate, list[base.Finding]]:
        values: dict[str, kinds.Value] = {}
        places: dict[str, str] = {}
        findings: dict[str, base.Finding] = {}
        for item in declared(self._cls):
            text, place = self._find_text(item)
            values[item.name], places[item.name] = None, place
            try:
                values[item.name] = _parse(item, text)
            except ValueError as exc:
                findings[item.name] = base.Finding(
                    id="azurewood.E201" if text is None else "azurewood.E202",
                    message=f"{item.name} {exc}",
                    place=place,
                    hint=_hint(item),
                )
        candidate = Candidate(
            settings=self._cls(**values),
            places=places,
            faulty=frozenset(findings),
        )
        return candidate, list(findings.values())

    def _find_text(self, item: Setting) -> tuple[str | None, str]:
        """Return the text of a setting and the flag or variable it is from."""
        flag = self._flags.get(item.name)
        if flag is not None:
            return flag, item.flag
        if item.variable in self._environ:
            return self._environ[item.variable], item.variable
        return item.default, f"{item.flag} or {item.variable}"


def _parse(item: Setting, text: str | None) -> kinds.Value:
    if text is None:
        raise ValueError("is not set")
    if text == "" and item.default == "":
        return () if isinstance(item.kind, kinds.Urls) else None
    try:
        return kinds.parse(item.kind, text)
    except ValueError as exc:
        word = "" if item.secret else "is invalid: "
        raise ValueError(f"{word}{exc}") from None


def _hint(item: Setting) -> str:
    unit = f" in {item.unit}" if item.unit else ""
    return f"{item.help} ({kinds.describe(item.kind)}{unit})"
