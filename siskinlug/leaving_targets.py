"""Targets that have said that they are leaving for good, as known to the whole fleet.

The owner that a target told may restart and forget it, and a renewal that was delayed
would then make the target ready again. All nodes remember it, and heartbeats between
nodes tell a restarted one.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

import msgspec

# Heartbeats repeat a leaving for this long. Few targets run for longer after it.
GOSSIP_S = 60.0
# Bounds a heartbeat while a large service is replaced.
MAX_GOSSIP_TARGETS = 32
# More than the targets of a fleet of the planned size.
MAX_TARGETS = 8192


class Leaving(NamedTuple):
    """Gossip message: a target is leaving, and must get no requests.

    Attributes:
        target: Target id.
        incarnation: Incarnation that is leaving; earlier ones are gone.
        age_s: Time since it said so, in seconds.
    """

    target: str
    incarnation: int
    age_s: float


class _Remembered(NamedTuple):
    incarnation: int
    since: float


class LeavingTargets:
    """Leaving targets by id; see ``make_leaving_targets``."""

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self._remembered_by_target: OrderedDict[str, _Remembered] = OrderedDict()

    def __contains__(self, process: tuple[str, int]) -> bool:
        """Return whether an incarnation of a target is leaving."""
        target, incarnation = process
        remembered = self._remembered_by_target.get(target)
        return remembered is not None and incarnation <= remembered.incarnation

    def processes(self) -> set[tuple[str, int]]:
        """Return the leaving targets with their incarnations."""
        return {
            (target, remembered.incarnation)
            for target, remembered in self._remembered_by_target.items()
        }

    def add(self, target: str, incarnation: int, *, age_s: float = 0.0) -> bool:
        """Remember that a target is leaving.

        Args:
            target: Target id.
            incarnation: Its incarnation.
            age_s: Time since it said so, in seconds.

        Returns:
            Whether this is news.
        """
        if (target, incarnation) in self:
            return False
        since = self.monotonic() - age_s
        self._remembered_by_target[target] = _Remembered(incarnation, since)
        self._remembered_by_target.move_to_end(target)
        if len(self._remembered_by_target) > MAX_TARGETS:
            self._remembered_by_target.popitem(last=False)
        return True

    def to_gossip(self) -> list[Leaving]:
        """Return the latest of those that heartbeats still repeat."""
        now = self.monotonic()
        found: list[Leaving] = []
        for target, remembered in reversed(self._remembered_by_target.items()):
            age_s = now - remembered.since
            if age_s < GOSSIP_S:
                found.append(Leaving(target, remembered.incarnation, round(age_s, 1)))
            if len(found) == MAX_GOSSIP_TARGETS:
                break
        return found

    def merge(self, received: Iterable[Leaving | Sequence[Any]]) -> list[Leaving]:
        """Merge what another node remembers.

        Args:
            received: Messages as decoded, where each is a JSON array.

        Returns:
            Those that were news.

        Raises:
            msgspec.ValidationError: A message is malformed; none was merged.
        """
        messages = [
            msgspec.convert(msgspec.to_builtins(message), Leaving)
            for message in received
        ]
        return [
            message
            for message in messages
            if message.age_s < GOSSIP_S
            and self.add(message.target, message.incarnation, age_s=message.age_s)
        ]


def make_leaving_targets(*, monotonic: Callable[[], float]) -> LeavingTargets:
    """Make the memory of a node that knows of no leaving target.

    Args:
        monotonic: Clock in seconds.
    """
    return LeavingTargets(monotonic=monotonic)
