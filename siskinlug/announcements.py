"""Announcements: targets tell the node beside them that they can take work."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from siskinlug.admission import Admission, close, make_admission
from siskinlug.directory import TargetRecord
from siskinlug.evidence import Evidence, make_evidence
from siskinlug.messages import Announcement, AnnouncementAnswer

LEASE_S = 3.0
INTERVAL_S = 1.0
MAX_SLOTS = 10_000
_NAME_LENGTH = 64


class Owned(NamedTuple):
    """A target that announced to this node, with all that the owner knows of it."""

    announcement: Announcement
    lease_until: float
    admission: Admission
    evidence: Evidence


class AdmissionLimits(NamedTuple):
    """What the pools table says for the queue of a target."""

    slots: int
    queue: int
    queue_wait_s: float


LimitsOf = Callable[[Announcement], AdmissionLimits]


class OwnedTargets:
    """Targets of this node by id."""

    def __init__(self, *, monotonic: Callable[[], float], limits_of: LimitsOf) -> None:
        self.monotonic = monotonic
        self.limits_of = limits_of
        self.owned_by_target: dict[str, Owned] = {}

    def with_lease(self, target: str) -> Owned | None:
        """Return a target whose lease holds now."""
        owned = self.owned_by_target.get(target)
        if owned is None or owned.lease_until <= self.monotonic():
            return None
        return owned


def _problem(message: Announcement) -> str:
    for key in ("target", "service"):
        name = message[key]
        if not 0 < len(name) <= _NAME_LENGTH or not name.isprintable():
            return f"{key} must have 1 to {_NAME_LENGTH} printable characters"
    if not 1 <= message["port"] <= 65535:
        return "port is outside 1 to 65535"
    if not 1 <= message["slots"] <= MAX_SLOTS:
        return f"slots is outside 1 to {MAX_SLOTS}"
    if message["state"] not in ("ready", "leaving"):
        return "state is not ready or leaving"
    return ""


def accept_announcement(
    targets: OwnedTargets, message: Announcement, *, alternatives: Iterable[str]
) -> Result[AnnouncementAnswer, str]:
    """Take an announcement or a renewal and grant a lease from now on.

    A new incarnation of a target starts with fresh admission and evidence; what
    waited for the old one is refused as not run.

    Args:
        targets: The targets of this node.
        message: The announcement.
        alternatives: host:port of nodes that the target may turn to.

    Returns:
        The answer, or what is wrong with the announcement.
    """
    if problem := _problem(message):
        return Failure(problem)
    held = targets.owned_by_target.get(message["target"])
    if held and message["incarnation"] < held.announcement["incarnation"]:
        return Failure("an incarnation that started later has announced")
    lease_until = targets.monotonic() + LEASE_S
    if held and message["incarnation"] == held.announcement["incarnation"]:
        owned = held._replace(announcement=message, lease_until=lease_until)
    else:
        if held:
            close(held.admission)
        limits = targets.limits_of(message)
        owned = Owned(
            announcement=message,
            lease_until=lease_until,
            admission=make_admission(
                target=message["target"],
                slots=limits.slots,
                queue=limits.queue,
                queue_wait_s=limits.queue_wait_s,
                monotonic=targets.monotonic,
            ),
            evidence=make_evidence(monotonic=targets.monotonic),
        )
    targets.owned_by_target[message["target"]] = owned
    return Success(
        AnnouncementAnswer(
            lease_s=LEASE_S, interval_s=INTERVAL_S, alternatives=list(alternatives)
        )
    )


def drop_expired(targets: OwnedTargets) -> list[str]:
    """Forget targets whose lease has expired and refuse what waits for them."""
    now = targets.monotonic()
    expired = [
        name
        for name, owned in targets.owned_by_target.items()
        if owned.lease_until <= now
    ]
    for name in expired:
        close(targets.owned_by_target.pop(name).admission)
    return expired


def target_records(
    targets: OwnedTargets, ejected_by_target: dict[str, tuple[str, ...]]
) -> tuple[TargetRecord, ...]:
    """Return the records that this node publishes for its targets."""
    return tuple(
        TargetRecord(
            target=name,
            service=owned.announcement["service"],
            slots=owned.announcement["slots"],
            incarnation=owned.announcement["incarnation"],
            epoch=owned.announcement["epoch"],
            state=owned.announcement["state"],
            ejected=ejected_by_target.get(name, ()),
        )
        for name, owned in sorted(targets.owned_by_target.items())
    )
