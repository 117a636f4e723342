"""A configuration that has been read but not yet validated."""

import dataclasses

from azurewood.checks import base
from azurewood.fleet import model

Path = tuple[str | int, ...]
"""Keys and indexes from the root of a document: ("hosts", 3, "zone")."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Draft:
    """A fleet in which required values that could not be read are None.

    ``lines`` maps each path that was read to its line number (from 1).
    """

    source: str
    fleet: model.Fleet
    lines: dict[Path, int] = dataclasses.field(default_factory=dict)

    def place(self, path: Path) -> str:
        """Return the source and line of a path or its nearest parent."""
        while path and path not in self.lines:
            path = path[:-1]
        return f"{self.source}:{self.lines.get(path, 1)}"

    def finding(
        self, id: str, path: Path, message: str, hint: str = ""
    ) -> base.Finding:
        """Return a finding of severity error for the value at a path."""
        return base.Finding(
            id=id, message=message, place=self.place(path), hint=hint
        )
