"""A configuration as it was read, before it is known to be valid."""

import dataclasses

from azurewood.checks import base
from azurewood.fleet import model

Path = tuple[str | int, ...]
"""Keys and indexes from the top of a document, as ("hosts", 3, "zone")."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Draft:
    """A fleet in which a required value that was not readable is None.

    ``lines`` holds the line number (from 1) of each path that was read.
    """

    source: str
    fleet: model.Fleet
    lines: dict[Path, int] = dataclasses.field(default_factory=dict)

    def place(self, path: Path) -> str:
        """Return file and line of a path, or of what it is part of."""
        while path and path not in self.lines:
            path = path[:-1]
        return f"{self.source}:{self.lines.get(path, 1)}"

    def finding(
        self, id: str, path: Path, message: str, hint: str = ""
    ) -> base.Finding:
        """Return an error at a path."""
        return base.Finding(
            id=id, message=message, place=self.place(path), hint=hint
        )
