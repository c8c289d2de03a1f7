"""Capacity reservations: an owner undertakes not to eject its target for a while.

This module holds the grantor's side and the messages of ``POST /peer/promises``; the
holder's side is in ``siskinlug.ejection``. A reservation is a lease on the monotonic
clock of the grantor, counted from its response. The holder counts from when it sent the
request, so the grantor's lease always outlasts the holder's.
"""

from typing import NamedTuple, TypedDict

from siskinlug.evidence import ALL_ROUTES, AnomalyScore

RESERVATION_LEASE_S = 5.0


class ReservationRequest(TypedDict):
    """Request, renew or release reservations of targets of one owner.

    ``scope`` is a route name or ``*``. ``number`` increases with each request of a
    holder, so that a delayed release does not end a newer reservation. ``sickness`` is
    the anomaly score of the target to be ejected.
    """

    holder: str
    holder_node: str
    pool: str
    scope: str
    number: int
    targets: list[str]
    sickness: AnomalyScore
    release: bool


class ReservationAnswer(TypedDict):
    """Reserved slots by target, and reasons of refusals by target."""

    slots_by_target: dict[str, int]
    refusal_by_target: dict[str, str]


class Reservation(NamedTuple):
    """A reservation granted to a holder.

    Attributes:
        expires_at: End of the lease, in seconds on the grantor's monotonic clock.
        request_number: Highest number of the holder's requests so far.
    """

    expires_at: float
    request_number: int


# Holder, node of the holder, pool and scope.
ReservationKey = tuple[str, str, str, str]


class Reservations:
    """Reservations granted for one target."""

    def __init__(self) -> None:
        self.reservation_by_key: dict[ReservationKey, Reservation] = {}


def reservation_key(request: ReservationRequest) -> ReservationKey:
    """Return the key of the reservation that a request refers to."""
    return (
        request["holder"],
        request["holder_node"],
        request["pool"],
        request["scope"],
    )


def grant_reservation(
    reservations: Reservations, request: ReservationRequest, now: float
) -> None:
    """Grant or renew a reservation; its lease starts now."""
    key = reservation_key(request)
    granted = reservations.reservation_by_key.get(key)
    number = (
        request["number"]
        if granted is None
        else max(granted.request_number, request["number"])
    )
    reservations.reservation_by_key[key] = Reservation(
        now + RESERVATION_LEASE_S, number
    )


def release_reservation(
    reservations: Reservations, request: ReservationRequest
) -> None:
    """End a reservation unless its holder has requested it again since."""
    key = reservation_key(request)
    granted = reservations.reservation_by_key.get(key)
    if granted is not None and granted.request_number <= request["number"]:
        del reservations.reservation_by_key[key]


def is_reserved(
    reservations: Reservations, request: ReservationRequest, now: float
) -> bool:
    """Whether the reservation that a request refers to is in force."""
    granted = reservations.reservation_by_key.get(reservation_key(request))
    return granted is not None and granted.expires_at > now


def forbids_ejection(reservations: Reservations, scope: str, now: float) -> bool:
    """Whether a reservation in force forbids ejecting the target for a scope.

    A reservation for a route forbids ejection for that route and for all routes; a
    reservation for all routes forbids any ejection.
    """
    for key, reservation in list(reservations.reservation_by_key.items()):
        if reservation.expires_at <= now:
            del reservations.reservation_by_key[key]
    return any(
        ALL_ROUTES in (scope, reserved_scope) or scope == reserved_scope
        for _, _, _, reserved_scope in reservations.reservation_by_key
    )


def is_clearly_healthier(own: AnomalyScore, other: AnomalyScore) -> bool:
    """Whether a target is clearly healthier than one that is to be ejected.

    If all targets fail or slow down together, none is, so overload ejects no target.
    """
    if other.cause == "latency":
        return own.latency_ratio * 2 <= other.latency_ratio
    return own.error_ratio * 2 + 0.05 <= other.error_ratio
