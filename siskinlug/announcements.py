"""Targets that announce themselves to this node, and their leases."""

from collections import OrderedDict
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
from siskinlug.leaving_targets import make_leaving_targets
from siskinlug.messages import Announcement, AnnouncementAnswer
from siskinlug.rate_limit import RateLimit, make_rate_limit
from siskinlug.verdict import Reason

LEASE_S = 3.0
RENEWAL_INTERVAL_S = 1.0
MAX_SLOTS = 10_000
# Targets of one node that are remembered after their lease has expired.
MAX_FORMER_TARGETS = 1024
_MAX_NAME_LENGTH = 64


class OwnedTarget(NamedTuple):
    """A target that has announced itself to this node, with its state at the owner.

    Attributes:
        announcement: Latest announcement.
        lease_until: End of the lease, on the node's monotonic clock.
        admission: Admission control of the target.
        evidence: Outcomes of its requests, which decide on its ejection.
        health_estimate: Estimate of the probability that the target is healthy.
    """

    announcement: Announcement
    lease_until: float
    admission: AdmissionControl
    evidence: Evidence
    health_estimate: HealthEstimate


class FormerTarget(NamedTuple):
    """What is remembered of a target whose lease has expired.

    Attributes:
        announcement: Its last announcement.
        rate_limit: Limit that it has named, if any.
    """

    announcement: Announcement
    rate_limit: RateLimit


class AdmissionLimits(NamedTuple):
    """Limits of a target's admission control, from the pools table.

    Attributes:
        slots: Maximum number of requests running at the target.
        queue: Maximum number of waiting requests.
        queue_wait_s: Maximum wait in the queue, in seconds.
        queue_by_deadline: Whether requests wait for as long as they can still finish
            before their deadline, instead of up to ``queue_wait_s``.
    """

    slots: int
    queue: int
    queue_wait_s: float
    queue_by_deadline: bool = False


LimitsOf = Callable[[Announcement], AdmissionLimits]


class OwnedTargets:
    """Targets of this node by id.

    Args:
        monotonic: Clock in seconds.
        limits_of: Returns the admission limits of the target of an announcement.
        lease_s: Duration of a lease, in seconds.

    Attributes:
        leaving: Targets of the fleet that leave for good, as known to this node.
    """

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
        self.owned_by_target: dict[str, OwnedTarget] = {}
        self.former_by_target: OrderedDict[str, FormerTarget] = OrderedDict()
        self.leaving = make_leaving_targets(monotonic=monotonic)

    def get_leased(self, target: str) -> OwnedTarget | None:
        """Return a target whose lease has not expired, or ``None``."""
        owned = self.owned_by_target.get(target)
        if owned is None or owned.lease_until <= self.monotonic():
            return None
        return owned


def _validation_error(message: Announcement) -> str:
    """Return why an announcement is invalid, or an empty string if it is valid."""
    for key in ("target", "service"):
        name = message[key]
        if not 0 < len(name) <= _MAX_NAME_LENGTH or not name.isprintable():
            return f"{key} must have 1 to {_MAX_NAME_LENGTH} printable characters"
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
    """Handle an announcement or a renewal, and grant a lease that starts now.

    A new incarnation of a target starts with an empty admission queue and no evidence;
    requests queued for the old one are refused as not run. A leaving target stays
    leaving until its next incarnation, or until it comes back from another owner; one
    that leaves for good stays leaving at every owner. An incarnation whose lease had
    expired keeps the limit that it named. If two targets announce the same address, it
    belongs to the one that started later. A renewal that was overtaken by a newer one,
    as its sequence number shows, changes nothing.

    Args:
        targets: Targets of this node.
        message: The announcement.
        alternatives: Addresses (host:port) of other nodes to which the target may
            announce itself.

    Returns:
        The response, or the reason why the announcement is rejected.
    """
    if error := _validation_error(message):
        return Failure(error)
    if (message["target"], message["incarnation"]) in targets.leaving:
        message = {**message, "state": "leaving"}
    known = targets.owned_by_target.get(message["target"])
    if known and message["incarnation"] < known.announcement["incarnation"]:
        return Failure("an incarnation that started later has announced")
    at_address = _find_at_address(targets, message)
    if at_address and message["incarnation"] < at_address.announcement["incarnation"]:
        return Failure("a target that started later has this address")
    answer = AnnouncementAnswer(
        lease_s=targets.lease_s,
        interval_s=RENEWAL_INTERVAL_S,
        alternatives=list(alternatives),
    )
    lease_until = targets.monotonic() + targets.lease_s
    if known and message["incarnation"] == known.announcement["incarnation"]:
        if message.get("sequence", 0) < known.announcement.get("sequence", 0):
            return Success(answer)
        if known.announcement["state"] == "leaving":
            message = {**message, "state": "leaving"}
        owned = known._replace(announcement=message, lease_until=lease_until)
    else:
        for former in (known, at_address):
            if former:
                close(former.admission)
                targets.owned_by_target.pop(former.announcement["target"], None)
        limits = targets.limits_of(message)
        rate_limit = make_rate_limit(monotonic=targets.monotonic)
        earlier = targets.former_by_target.pop(message["target"], None)
        if earlier and earlier.announcement["incarnation"] == message["incarnation"]:
            rate_limit = earlier.rate_limit
            has_moved = message["epoch"] > earlier.announcement["epoch"]
            if earlier.announcement["state"] == "leaving" and not has_moved:
                message = {**message, "state": "leaving"}
        owned = OwnedTarget(
            announcement=message,
            lease_until=lease_until,
            admission=_make_admission(
                message["target"], limits, targets.monotonic, rate_limit
            ),
            evidence=make_evidence(monotonic=targets.monotonic),
            health_estimate=make_health_estimate(monotonic=targets.monotonic),
        )
    if message["state"] == "leaving":
        close(owned.admission, Reason.TARGET_LEAVING)
    targets.owned_by_target[message["target"]] = owned
    return Success(answer)


def mark_target_leaving(
    targets: OwnedTargets, target: str, *, latest_incarnation: int
) -> bool:
    """Mark a target as leaving for good, so that it gets no further requests.

    Args:
        targets: Targets of this node.
        target: Target id.
        latest_incarnation: Incarnation that is leaving if the target has not announced
            itself to this process, as after a restart.

    Returns:
        Whether this node owns the target.
    """
    known = targets.owned_by_target.get(target)
    former = known or targets.former_by_target.get(target)
    incarnation = former.announcement["incarnation"] if former else latest_incarnation
    targets.leaving.add(target, incarnation)
    if known is None:
        return False
    close(known.admission, Reason.TARGET_LEAVING)
    message: Announcement = {**known.announcement, "state": "leaving"}
    targets.owned_by_target[target] = known._replace(announcement=message)
    return True


def _find_at_address(
    targets: OwnedTargets, message: Announcement
) -> OwnedTarget | None:
    """Return another target that announced the same address, or ``None``."""
    for owned in targets.owned_by_target.values():
        other = owned.announcement
        if other["target"] != message["target"] and (other["host"], other["port"]) == (
            message["host"],
            message["port"],
        ):
            return owned
    return None


def _make_admission(
    target: str,
    limits: AdmissionLimits,
    monotonic: Callable[[], float],
    rate_limit: RateLimit,
) -> AdmissionControl:
    if limits.queue_by_deadline:
        return make_deadline_admission(
            target=target,
            slots=limits.slots,
            queue=limits.queue,
            monotonic=monotonic,
            rate_limit=rate_limit,
        )
    return make_admission(
        target=target,
        slots=limits.slots,
        queue=limits.queue,
        queue_wait_s=limits.queue_wait_s,
        monotonic=monotonic,
        rate_limit=rate_limit,
    )


def apply_limits(owned: OwnedTarget, limits: AdmissionLimits) -> OwnedTarget:
    """Apply the limits of a changed pools table to a target.

    Returns:
        The target. It has a new admission queue if ``queue_by_deadline`` has changed,
        in which case requests waiting in the old one are refused as not run.
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
    replacement = _make_admission(
        owned.announcement["target"],
        limits,
        owned.health_estimate.monotonic,
        admission.rate_limit,
    )
    replacement.closed = admission.closed
    close(admission, admission.closed or Reason.TARGET_UNKNOWN)
    return owned._replace(admission=replacement)


def drop_expired_targets(targets: OwnedTargets) -> list[str]:
    """Drop targets whose lease has expired and refuse the requests queued for them.

    Returns:
        Ids of the dropped targets.
    """
    now = targets.monotonic()
    expired = [
        name
        for name, owned in targets.owned_by_target.items()
        if owned.lease_until <= now
    ]
    for name in expired:
        owned = targets.owned_by_target.pop(name)
        close(owned.admission)
        targets.former_by_target[name] = FormerTarget(
            owned.announcement, owned.admission.rate_limit
        )
        if len(targets.former_by_target) > MAX_FORMER_TARGETS:
            targets.former_by_target.popitem(last=False)
    return expired


def target_records(
    targets: OwnedTargets, ejected_by_target: dict[str, tuple[str, ...]]
) -> tuple[TargetRecord, ...]:
    """Return the directory records of this node's targets.

    Args:
        targets: Targets of this node.
        ejected_by_target: Routes from which a target is ejected; ``*`` stands for all.
    """
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
