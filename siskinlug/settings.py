"""Settings of a daemon: what a process must know of itself."""

from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

from returns.result import Failure, Result, Success

from siskinlug.ini import (
    REQUIRED,
    Fault,
    KeySpec,
    integer,
    locate_keys,
    matching,
    number,
    one_of,
    parse_ini,
    parse_section,
    words,
)

_NAME = matching(r"[A-Za-z0-9._-]{1,64}", "a name of letters, digits, '.', '_', '-'")
_HOST = matching(r"[0-9a-fA-F.:]{2,45}", "an IP number")
_URL = matching(r"http://\S+", "an http:// address")
_PORT = integer(0, 65535)

SPECS: Mapping[str, Mapping[str, KeySpec]] = {
    "node": {
        "name": KeySpec(_NAME, REQUIRED, "", "Node id, unique in the fleet."),
        "vm": KeySpec(_NAME, REQUIRED, "", "VM on which the process runs."),
        "failure_domain": KeySpec(_NAME, REQUIRED, "", "Failure domain of the VM."),
        "region": KeySpec(_NAME, "default", "", "Region of the failure domain."),
        "host": KeySpec(_HOST, "127.0.0.1", "", "Address to listen on."),
        "caller_port": KeySpec(_PORT, REQUIRED, "port", "Port for callers."),
        "peer_port": KeySpec(_PORT, REQUIRED, "port", "Port for nodes and targets."),
        "advertise": KeySpec(
            matching(r"([0-9a-fA-F.:]{2,45}:\d{1,5})?", "host:port"),
            "",
            "host:port",
            "Address at which other nodes reach the peer port, if it is another one.",
        ),
        "admin_host": KeySpec(
            _HOST, "127.0.0.1", "", "Address of the read-only admin port."
        ),
        "admin_port": KeySpec(_PORT, REQUIRED, "port", "Read-only admin port."),
    },
    "fleet": {
        "log_url": KeySpec(_URL, REQUIRED, "", "Address of the log service."),
        "peers": KeySpec(words, (), "", "host:port of nodes to start from."),
        "token": KeySpec(
            matching(r"\S{16,256}", "16 to 256 characters without spaces"),
            REQUIRED,
            "",
            "Shared key of nodes and targets; compared in constant time.",
        ),
    },
    "limits": {
        "header_bytes": KeySpec(
            integer(1024, 1 << 20), 65536, "bytes", "Largest request head (431)."
        ),
        "body_bytes": KeySpec(
            integer(0, 1 << 40), 1 << 30, "bytes", "Largest request body (413)."
        ),
        "replay_bytes": KeySpec(
            integer(0, 1 << 24),
            65536,
            "bytes",
            "Part of a request body kept in memory so that it can be sent again.",
        ),
        "caller_connections": KeySpec(
            integer(1, 100_000), 2000, "connections", "Open caller connections."
        ),
        "caller_idle_s": KeySpec(
            number(1, 3600), 75.0, "s", "Idle time of a caller's connection."
        ),
        "caller_body_s": KeySpec(
            number(1, 3600), 60.0, "s", "Time for a caller to send its whole body."
        ),
        "stop_s": KeySpec(
            number(1, 86400),
            3600.0,
            "s",
            "Time for requests in flight to finish after SIGTERM.",
        ),
        "linger_s": KeySpec(
            number(0, 3600),
            0.0,
            "s",
            "Part of that time in which callers may still connect, until they have "
            "learned that the node is not ready.",
        ),
    },
    "logging": {
        "level": KeySpec(
            one_of("debug", "info", "warning", "error"), "info", "", "Lowest level."
        ),
    },
}


class Limits(NamedTuple):
    """Bounds of one process; units are in the names and in ``SPECS``."""

    header_bytes: int
    body_bytes: int
    replay_bytes: int
    caller_connections: int
    caller_idle_s: float
    caller_body_s: float
    stop_s: float
    linger_s: float


class Settings(NamedTuple):
    """Settings of one daemon; ``SPECS`` documents every key."""

    name: str
    vm: str
    failure_domain: str
    region: str
    host: str
    caller_port: int
    peer_port: int
    advertise: str
    admin_host: str
    admin_port: int
    log_url: str
    peers: tuple[str, ...]
    token: str
    limits: Limits
    level: str


def load_settings(path: Path) -> Result[Settings, list[Fault]]:
    """Read and check the settings file of a daemon.

    Args:
        path: INI file with the sections of ``SPECS``.

    Returns:
        The settings, or every fault found.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure([Fault(str(path), 0, "", "", f"cannot be read: {error}")])
    return parse_settings(text, file=str(path))


def parse_settings(text: str, *, file: str) -> Result[Settings, list[Fault]]:
    """Check the text of a settings file; see ``load_settings``."""
    read = parse_ini(text, file=file)
    if isinstance(read, Failure):
        return read
    sections = read.unwrap()
    lines = locate_keys(text)
    faults = [
        Fault(file, lines.get((name, ""), 0), name, "", "unknown section")
        for name in sections
        if name not in SPECS
    ]
    value_by_key: dict[str, dict[str, object]] = {}
    for name, specs in SPECS.items():
        value_by_key[name], found = parse_section(
            sections.get(name, {}), specs, file=file, section=name, line_by_key=lines
        )
        faults += found
    if faults:
        return Failure(faults)
    return Success(
        Settings(
            **value_by_key["node"],  # type: ignore[arg-type]
            **value_by_key["fleet"],  # type: ignore[arg-type]
            limits=Limits(**value_by_key["limits"]),  # type: ignore[arg-type]
            level=str(value_by_key["logging"]["level"]),
        )
    )
