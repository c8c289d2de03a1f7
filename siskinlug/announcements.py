"""Announcements: targets tell the node beside them that they can take work."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from siskinlug.admission import (
    Admission,
    AdmissionControl,
    close,
    make_admission,
    resize,
)
from siskinlug.deadline_queue import DeadlineAdmission, make_deadline_admission
from siskinlug.directory import TargetRecord
from siskinlug.evidence import Evidence, make_evidence
from siskinlug.health_estimate import HealthEstimate, make_health_estimate
from siskinlug.messages import Announcement, AnnouncementAnswer
from siskinlug.verdict import Reason

LEASE_S = 3.0
INTERVAL_S = 1.0
MAX_SLOTS = 10_000
_NAME_LENGTH = 64


class Owned(NamedTuple):
    """A target that announced to this node, with all that the owner knows of it."""

    announcement: Announcement
    lease_until: float
    admission: AdmissionControl
    evidence: Evidence
    health_estimate: HealthEstimate


class AdmissionLimits(NamedTuple):
    """What the pools table says for the queue of a target."""

    slots: int
    queue: int
    queue_wait_s: float
    queue_by_deadline: bool = False


LimitsOf = Callable[[Announcement], AdmissionLimits]


class OwnedTargets:
    """Targets of this node by id."""

    def __init__(
        self,
        *,
        monotonic: Callable[[], float],
        limits_of: LimitsOf,
        lease_s: float = LEASE_S,
    ) -> None:
        self.monotonic = monotonic
        self.limits_of = limits_of
        self.lease_s = lease_s
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
    waited for the old one is refused as not run. A target that is leaving stays so
    until its next incarnation, and the target that started last at an address is the
    one that has it.

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
    at_address = _at_address(targets, message)
    if at_address and message["incarnation"] < at_address.announcement["incarnation"]:
        return Failure("a target that started later has this address")
    answer = AnnouncementAnswer(
        lease_s=targets.lease_s, interval_s=INTERVAL_S, alternatives=list(alternatives)
    )
    lease_until = targets.monotonic() + targets.lease_s
    if held and message["incarnation"] == held.announcement["incarnation"]:
        if message.get("sequence", 0) < held.announcement.get("sequence", 0):
            return Success(answer)
        if held.announcement["state"] == "leaving":
            message = {**message, "state": "leaving"}
        owned = held._replace(announcement=message, lease_until=lease_until)
    else:
        for former in (held, at_address):
            if former:
                close(former.admission)
                targets.owned_by_target.pop(former.announcement["target"], None)
        limits = targets.limits_of(message)
        owned = Owned(
            announcement=message,
            lease_until=lease_until,
            admission=_make_admission(message["target"], limits, targets.monotonic),
            evidence=make_evidence(monotonic=targets.monotonic),
            health_estimate=make_health_estimate(monotonic=targets.monotonic),
        )
    if message["state"] == "leaving":
        close(owned.admission, Reason.TARGET_LEAVING)
    targets.owned_by_target[message["target"]] = owned
    return Success(answer)


def withdraw(targets: OwnedTargets, target: str) -> bool:
    """Take a target's word that it is gone: it gets no work from now on.

    Returns:
        Whether the target was known.
    """
    held = targets.owned_by_target.get(target)
    if held is None:
        return False
    close(held.admission, Reason.TARGET_LEAVING)
    message: Announcement = {**held.announcement, "state": "leaving"}
    targets.owned_by_target[target] = held._replace(announcement=message)
    return True


def _at_address(targets: OwnedTargets, message: Announcement) -> Owned | None:
    """Return another target that announced the same address."""
    for owned in targets.owned_by_target.values():
        other = owned.announcement
        if other["target"] != message["target"] and (other["host"], other["port"]) == (
            message["host"],
            message["port"],
        ):
            return owned
    return None


def _make_admission(
    target: str, limits: AdmissionLimits, monotonic: Callable[[], float]
) -> AdmissionControl:
    if limits.queue_by_deadline:
        return make_deadline_admission(
            target=target, slots=limits.slots, queue=limits.queue, monotonic=monotonic
        )
    return make_admission(
        target=target,
        slots=limits.slots,
        queue=limits.queue,
        queue_wait_s=limits.queue_wait_s,
        monotonic=monotonic,
    )


def apply_limits(owned: Owned, limits: AdmissionLimits) -> Owned:
    """Apply limits of a changed pools table to a target.

    Returns:
        The target, with another admission if its way of waiting has changed; what
        waited in the old one is refused as not run.
    """
    admission = owned.admission
    if isinstance(admission, DeadlineAdmission) and limits.queue_by_deadline:
        admission.resize(slots=limits.slots, queue=limits.queue)
        return owned
    if isinstance(admission, Admission) and not limits.queue_by_deadline:
        resize(
            admission,
            slots=limits.slots,
            queue=limits.queue,
            queue_wait_s=limits.queue_wait_s,
        )
        return owned
    fresh = _make_admission(
        owned.announcement["target"], limits, owned.health_estimate.monotonic
    )
    fresh.closed = admission.closed
    close(admission, admission.closed or Reason.TARGET_UNKNOWN)
    return owned._replace(admission=fresh)


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
