"""Checks of operators' changes before a daemon proposes them."""

import dataclasses

from azurewood.checks import base
from azurewood.fleet import document
from azurewood.fleet import model
from azurewood.state import agreed as agreed_state
from azurewood.state import records

PROPOSED_SOURCE = "proposed"

OPERATOR_CHANGES = (
    records.PublishFleet,
    records.EditPreset,
    records.UsePreset,
    records.MoveHost,
    records.CancelMove,
    records.DrainHost,
    records.ReturnHost,
    records.StartWave,
    records.PauseWave,
    records.ResumeWave,
)


def is_for_operators(change: records.AnyChange) -> bool:
    """Return whether operators may propose a change.

    All other changes are proposed by daemons only.
    """
    return isinstance(change, OPERATOR_CHANGES)


def check(
    shared: agreed_state.Agreed, change: records.AnyChange
) -> list[base.Finding]:
    """Return the errors of a proposed configuration or preset."""
    match change:
        case records.PublishFleet(fleet=fleet):
            return check_fleet(fleet)
        case records.EditPreset(preset=preset) if shared.fleet is not None:
            presets = [item.preset for item in shared.presets.values()]
            return check_fleet(with_preset(shared.fleet, presets, preset))
        case _:
            return []


def check_fleet(
    fleet: model.Fleet, source: str = PROPOSED_SOURCE
) -> list[base.Finding]:
    """Return the errors of a configuration that was not read from a file."""
    reading = document.read(document.dump(fleet), source)
    return base.errors(reading.findings)


def with_preset(
    fleet: model.Fleet, presets: list[model.Preset], preset: model.Preset
) -> model.Fleet:
    """Return a configuration with ``presets``, one added or replaced."""
    kept = [item for item in presets if item.name != preset.name]
    return dataclasses.replace(fleet, presets=(*kept, preset))
