"""Reload of settings: applies those that need no restart to a running node."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from absl import logging
from returns.result import Failure, Result

from siskinlug.logs import log_event, set_level
from siskinlug.node import Node
from siskinlug.settings import Settings

# The file may change without a signal, so its modification time is polled.
CHECK_INTERVAL_S = 2.0
# Settings that are applied without a restart.
RELOADABLE = ("limits", "level")

ReadSettings = Callable[[], Result[Settings, str]]


def reload_settings(node: Node, read: ReadSettings) -> None:
    """Read the settings again and apply those that need no restart.

    If the settings cannot be read, the current ones stay in force.

    Args:
        node: The running node.
        read: Reads and checks the settings.
    """
    loaded = read()
    if isinstance(loaded, Failure):
        log_event("settings_unreadable", write=logging.error, problem=loaded.failure())
        return
    settings = loaded.unwrap()
    changed = [
        name
        for name in Settings._fields
        if getattr(settings, name) != getattr(node.settings, name)
    ]
    applied = [name for name in changed if name in RELOADABLE]
    node.settings = node.settings._replace(limits=settings.limits, level=settings.level)
    set_level(settings.level)
    server = node.server_by_port.get("caller_port")
    if server is not None:
        server.limits = server.limits._replace(
            header_bytes=settings.limits.header_bytes,
            body_bytes=settings.limits.body_bytes,
            replay_bytes=settings.limits.replay_bytes,
            connections=settings.limits.caller_connections,
        )
    log_event(
        "settings_reloaded",
        applied=applied,
        needs_restart=[name for name in changed if name not in RELOADABLE],
    )


async def watch_settings(
    node: Node, path: Path, read: ReadSettings, reload_requested: asyncio.Event
) -> None:
    """Reload the settings on request or when their file changes, until cancelled.

    Args:
        node: The running node.
        path: The settings file.
        read: Reads and checks the settings.
        reload_requested: Set by SIGHUP; cleared here.
    """
    modified_ns = _modified_ns(path)
    while True:
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await reload_requested.wait()
        except TimeoutError:
            if _modified_ns(path) == modified_ns:
                continue
        reload_requested.clear()
        modified_ns = _modified_ns(path)
        reload_settings(node, read)


def _modified_ns(path: Path) -> int:
    """Return the modification time of a file in nanoseconds, or 0 if it is missing."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
