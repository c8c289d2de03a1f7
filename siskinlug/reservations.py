"""Stay-in promises: undertakings of owners that a target will not be ejected.

The giver's side and the messages of ``POST /peer/promises``; the holder's side is in
``siskinlug.ejection``. A promise is a lease on the monotonic clock of its giver,
counted from the answer. The holder counts from when it sent its request, so the
giver's lease always outlasts the holder's.
"""

from typing import NamedTuple, TypedDict

from siskinlug.evidence import ALL_ROUTES, AnomalyScore

RESERVATION_LEASE_S = 5.0


class ReservationRequest(TypedDict):
    """Ask for promises of the owner's targets, renew them, or release them.

    ``scope`` is a route name or ``*``. ``number`` rises with each request of one
    holder, so that a release that arrives late does not end a newer promise.
    ``sickness`` is what the holder knows of the target it wants to eject.
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
    """Slots promised by target, and the reason by target that was refused."""

    slots_by_target: dict[str, int]
    refusal_by_target: dict[str, str]


class Reservation(NamedTuple):
    """A promise given.

    Attributes:
        expires: Monotonic time of the giver.
        number: Highest number of the holder's requests so far.
    """

    expires: float
    number: int


ReservationKey = tuple[str, str, str, str]


class Reservations:
    """The promises given for one target, by holder, its node, pool and scope."""

    def __init__(self) -> None:
        self.reservation_by_key: dict[ReservationKey, Reservation] = {}


def reservation_key(request: ReservationRequest) -> ReservationKey:
    """Return the key of the promise that a request is about."""
    return (
        request["holder"],
        request["holder_node"],
        request["pool"],
        request["scope"],
    )


def grant_reservation(
    reservations: Reservations, request: ReservationRequest, now: float
) -> None:
    """Give or renew a promise, counted from now."""
    key = reservation_key(request)
    held = reservations.reservation_by_key.get(key)
    number = request["number"] if held is None else max(held.number, request["number"])
    reservations.reservation_by_key[key] = Reservation(
        now + RESERVATION_LEASE_S, number
    )


def release_reservation(
    reservations: Reservations, request: ReservationRequest
) -> None:
    """End a promise unless its holder has asked for it again since."""
    key = reservation_key(request)
    held = reservations.reservation_by_key.get(key)
    if held is not None and held.number <= request["number"]:
        del reservations.reservation_by_key[key]


def is_reserved(
    reservations: Reservations, request: ReservationRequest, now: float
) -> bool:
    """Whether the promise that a request is about is in force."""
    held = reservations.reservation_by_key.get(reservation_key(request))
    return held is not None and held.expires > now


def forbids_ejection(reservations: Reservations, scope: str, now: float) -> bool:
    """Whether a promise in force forbids ejecting the target for a scope.

    A promise for a route forbids ejecting for that route and for all, and a promise
    for all forbids any.
    """
    for key, reservation in list(reservations.reservation_by_key.items()):
        if reservation.expires <= now:
            del reservations.reservation_by_key[key]
    return any(
        ALL_ROUTES in (scope, reserved) or scope == reserved
        for _, _, _, reserved in reservations.reservation_by_key
    )


def is_clearly_healthier(own: AnomalyScore, other: AnomalyScore) -> bool:
    """Whether a target is clearly healthier than one that is to be ejected.

    When all targets fail or slow down together none is, so overload ejects nothing.
    """
    if other.cause == "latency":
        return own.latency_ratio * 2 <= other.latency_ratio
    return own.error_ratio * 2 + 0.05 <= other.error_ratio
