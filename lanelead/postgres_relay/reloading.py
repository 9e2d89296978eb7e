"""Reads a relay's configuration file again, and finds what has changed and which changes need a restart."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Collection, Coroutine, Mapping
from dataclasses import dataclass, field
from typing import Any

from lanelead.configuration.value_types import EntryValue, InvalidValueError
from lanelead.postgres_relay.applied_configuration import (
    CLASSES_SETTING,
    TENANTS_SETTING,
    changed_entries,
    classes_without_values,
)
from lanelead.postgres_relay.config import RelayConfig, load
from lanelead.protocols.feeds import MessageError

# A larger file is read in a thread: with 49,000 tenants it takes over a second, in which no request would be handled.
MAX_INLINE_FILE_BYTES = 1 << 20

RESTART_FIELDS = ("name", "listen", "limits", "peer_listen", "peers", "peers_all")


def ignored_until_restart(old: RelayConfig, new: RelayConfig, applied: Collection[str]) -> list[str]:
    """Returns the paths of changed fields that stay without effect until a restart.

    `applied` names the settings whose changes the running relay has already applied.
    """
    ignored = [name for name in RESTART_FIELDS if getattr(new, name) != getattr(old, name)]
    names = sorted(name for name in {*old.settings, *new.settings} if name not in applied)
    ignored += [f"settings.{name}" for name in names if old.settings.get(name) != new.settings.get(name)]
    return ignored


@dataclass(frozen=True)
class Reload:
    """A file that was read again, and what has changed in it.

    Attributes
    ----------
    config
        The file.
    keys, values, errors
        The changed tenants and classes, all valid values by key, and the invalid ones; empty where the relay takes them
        from elsewhere.
    applied
        The names of the settings whose changes need no restart.
    """

    config: RelayConfig
    keys: list[str] = field(default_factory=list)
    values: Mapping[str, EntryValue] = field(default_factory=dict)
    errors: list[InvalidValueError] = field(default_factory=list)
    applied: list[str] = field(default_factory=list)


def read_again(path: str, old: RelayConfig, with_values: bool) -> Reload:
    """Reads a file and compares its tenants and classes with those of `old` if `with_values`; raises MessageError."""
    config = load(path)
    if not with_values:
        return Reload(config)
    keys, values, errors = changed_entries(old.settings, config.settings)
    applied = [TENANTS_SETTING]
    if classes_without_values(old.settings) == classes_without_values(config.settings):
        applied.append(CLASSES_SETTING)
    return Reload(config, keys, values, errors, applied)


class FileReloader:
    """Reads the file again on request: at once if it is small, otherwise in a thread.

    `read` reads it, `apply` applies what was read, in the event loop's thread, and `start_task` starts a task.
    """

    def __init__(
        self,
        path: str,
        read: Callable[[], Reload],
        apply: Callable[[Reload], None],
        start_task: Callable[[Coroutine[Any, Any, None]], object],
        log: Any,
    ) -> None:
        self._path = path
        self._read = read
        self._apply = apply
        self._start_task = start_task
        self._log = log
        self._in_thread = False  # whether a thread reads the file
        self._read_once_more = False  # requested while it did

    def request(self) -> None:
        """Reads the file, or has it read once more where a thread reads it already."""
        if self._in_thread:
            self._read_once_more = True
        elif self._is_large():
            self._in_thread = True
            self._start_task(self._reload_in_thread())
        else:
            try:
                self._apply(self._read())
            except MessageError as error:
                self._log_rejection(error)

    def _is_large(self) -> bool:
        try:
            return os.stat(self._path).st_size > MAX_INLINE_FILE_BYTES
        except OSError:
            return False

    async def _reload_in_thread(self) -> None:
        try:
            self._read_once_more = True
            while self._read_once_more:
                self._read_once_more = False
                try:
                    reload = await asyncio.to_thread(self._read)
                except MessageError as error:
                    self._log_rejection(error)
                else:
                    self._apply(reload)
        finally:
            self._in_thread = False

    def _log_rejection(self, error: MessageError) -> None:
        self._log.error(
            "configuration not reloaded: the old one stays in force",
            reason=str(error),
            remedy="correct the file and send SIGHUP again",
        )
