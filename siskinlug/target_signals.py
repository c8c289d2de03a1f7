"""What targets say of themselves in the headers of their responses.

A target in need names the rate of requests that it can take, and a target that stops
says that it is leaving.
"""

import math
from collections import OrderedDict
from typing import NamedTuple

from absl import logging
from tornado.httputil import HTTPHeaders

from siskinlug.dialect import Dialect
from siskinlug.leaving_targets import LeavingTargets
from siskinlug.logs import log_event

_MAX_LOGGED_CHARS = 32
# More than the targets of a fleet of the planned size.
_MAX_REMEMBERED = 8192

# A target id and the incarnation of the target.
TargetProcess = tuple[str, int]


class TargetSignals(NamedTuple):
    """Signals in one response.

    Attributes:
        names_limit: Whether the response names a limit, or tries to.
        limit_per_s: The named limit, in requests per second from all callers together;
            ``None`` if there is none or if it is malformed.
        leaving: Whether the target is leaving and must get no further requests.
    """

    names_limit: bool = False
    limit_per_s: float | None = None
    leaving: bool = False


def read_signals(dialect: Dialect, headers: HTTPHeaders) -> TargetSignals:
    """Read the signals in the headers of a response.

    Args:
        dialect: The dialect of the targets.
        headers: Headers of a response by the target itself.
    """
    leaving = headers.get(dialect.leaving, "0").strip() not in ("", "0")
    text = headers.get(dialect.rate_limit)
    if text is None:
        return TargetSignals(leaving=leaving)
    return TargetSignals(True, parse_limit(text), leaving)


def parse_limit(text: str) -> float | None:
    """Parse a limit in requests per second, or return ``None`` if it is malformed."""
    try:
        limit_per_s = float(text)
    except ValueError:
        limit_per_s = math.nan
    if math.isfinite(limit_per_s) and limit_per_s >= 0:
        return limit_per_s
    log_event(
        "target_limit_unreadable",
        write=logging.debug,
        value=text[:_MAX_LOGGED_CHARS],
    )
    return None


class SignalMemory:
    """What an entry has learned of targets from the responses that it passed on.

    It outlives a restart of the owners, which know more but forget it.

    Attributes:
        limit_by_target: Named limits in requests per second.
        leaving: Targets that are leaving, as known to this node.
    """

    def __init__(self, leaving: LeavingTargets) -> None:
        self.limit_by_target: OrderedDict[TargetProcess, float] = OrderedDict()
        self.leaving = leaving


def remember_signals(
    memory: SignalMemory, target: TargetProcess, signals: TargetSignals
) -> None:
    """Remember the signals in a response, or that it has none.

    Args:
        memory: The entry's memory.
        target: The target.
        signals: The signals in its response.
    """
    if signals.limit_per_s is not None:
        memory.limit_by_target[target] = signals.limit_per_s
    elif not signals.names_limit:
        memory.limit_by_target.pop(target, None)
    if signals.leaving:
        memory.leaving.add(*target)
    if len(memory.limit_by_target) > _MAX_REMEMBERED:
        memory.limit_by_target.popitem(last=False)
