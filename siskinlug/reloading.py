"""Changed settings: what is applied to a running node, and what needs a restart."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from absl import logging
from returns.result import Failure, Result

from siskinlug.logs import log_event, set_level
from siskinlug.node import Node
from siskinlug.settings import Settings

# The file may change without a signal, so its time of change is looked at this often.
CHECK_INTERVAL_S = 2.0
# Settings that are applied while the node runs.
RELOADABLE = ("limits", "level")

ReadSettings = Callable[[], Result[Settings, str]]


def reload_settings(node: Node, read: ReadSettings) -> None:
    """Read the settings again and apply what can be applied.

    Settings that cannot be read leave the ones in force.
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
    """Reload the settings when told to or when their file changes, until cancelled.

    Args:
        node: The node.
        path: The settings file.
        read: Reads and checks it.
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
    """Return the time of the last change; 0 while the file is missing."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0
