"""Structured logs: JSON lines through absl.logging, with one schema everywhere."""

import logging as std_logging
import sys
from collections.abc import Callable
from typing import Any

import msgspec
from absl import flags, logging

from siskinlug.bounded_output import make_bounded_output

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class _JsonFormatter(std_logging.Formatter):
    """Formats a record as a JSON line: time, level, node, event and its fields."""

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: std_logging.LogRecord) -> str:
        line: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "node": self._node,
        }
        if isinstance(record.args, dict):
            line |= {"event": record.msg, **record.args}
        else:
            line["event"] = "message"
            line["message"] = record.getMessage()
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def configure_logs(*, node: str, level: str) -> None:
    """Send all logs of the process to standard output as JSON lines.

    Args:
        node: Node id, included in each line.
        level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    # The daemon defines no absl flags, and absl warns if they are not parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(_JsonFormatter(node))
    handler.python_handler.stream = make_bounded_output(sys.stdout.fileno())
    set_level(level)
    std_logging.getLogger("tornado").setLevel(std_logging.ERROR)


def set_level(level: str) -> None:
    """Set the lowest level that is logged."""
    logging.set_verbosity(_LEVELS[level])


def log_event(
    event: str, *, write: Callable[..., None] = logging.info, **fields: object
) -> None:
    """Log an event with its fields as one line.

    Args:
        event: Event name in snake case.
        write: ``absl.logging`` function for the level of the line.
        fields: Fields of the line; units are part of their names.
    """
    write(event, fields)
