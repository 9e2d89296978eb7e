"""Earlier names of `lanelead.settings.errors`, until the packages that use them follow."""

from __future__ import annotations

from lanelead.settings.errors import Position as Spot
from lanelead.settings.errors import SettingsError as Unfit
from lanelead.settings.errors import SettingsFault as Fault

__all__ = ["Fault", "Spot", "Unfit"]
