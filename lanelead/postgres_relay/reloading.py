"""Finds the changes in a reloaded configuration file that need a restart."""

from __future__ import annotations

from collections.abc import Collection

from lanelead.postgres_relay.config import RelayConfig

RESTART_FIELDS = ("name", "listen", "limits", "peer_listen", "peers", "peers_all")


def ignored_until_restart(old: RelayConfig, new: RelayConfig, applied: Collection[str]) -> list[str]:
    """Returns the paths of changed fields that stay without effect until a restart.

    `applied` names the settings whose changes the running relay has already applied.
    """
    ignored = [name for name in RESTART_FIELDS if getattr(new, name) != getattr(old, name)]
    names = sorted(name for name in {*old.settings, *new.settings} if name not in applied)
    ignored += [f"settings.{name}" for name in names if old.settings.get(name) != new.settings.get(name)]
    return ignored
