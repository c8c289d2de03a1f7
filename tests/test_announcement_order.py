"""Announcements that arrive late, twice or from an earlier incarnation."""

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals, Is, IsInstance

from siskinlug.announcements import (
    LEASE_S,
    AdmissionLimits,
    OwnedTargets,
    accept_announcement,
    apply_limits,
    drop_expired_targets,
    mark_target_leaving,
)
from siskinlug.deadline_queue import DeadlineAdmission
from siskinlug.leaving_targets import Leaving
from siskinlug.messages import Announcement
from siskinlug.verdict import Reason


def _message(**changed: object) -> Announcement:
    message = {
        "target": "t-1",
        "service": "s",
        "host": "10.0.0.1",
        "port": 80,
        "slots": 4,
        "incarnation": 100,
        "epoch": 0,
        "state": "ready",
        "sequence": 5,
    }
    return message | changed  # type: ignore[return-value]


class AnnouncementOrderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 1.0
        self.targets = OwnedTargets(
            monotonic=lambda: self.now, limits_of=lambda _m: AdmissionLimits(4, 8, 2.0)
        )

    def _announce(self, **changed: object) -> object:
        return accept_announcement(self.targets, _message(**changed), alternatives=())

    def _state(self, target: str = "t-1") -> str:
        return self.targets.owned_by_target[target].announcement["state"]

    def test_late_renewal_does_not_undo_leaving(self) -> None:
        """Guards against new requests to a leaving target.

        An earlier renewal may arrive after the announcement that the target leaves.
        """
        self._announce()
        self._announce(state="leaving", sequence=6)
        self._announce(sequence=5)
        self.assertThat(self._state(), Equals("leaving"))

    def test_leaving_target_ignores_ready_renewal(self) -> None:
        """Guards against a leaving target made ready by its own next renewal."""
        self._announce()
        mark_target_leaving(self.targets, "t-1", latest_incarnation=0)
        self._announce(sequence=9)
        self.assertThat(self._state(), Equals("leaving"))

    def test_leaving_target_stays_away_after_its_lease_has_expired(self) -> None:
        """Guards against a target that a renewal brings back after it has left.

        The renewal was delayed for longer than the lease, or the target still sends it.
        """
        self._announce()
        mark_target_leaving(self.targets, "t-1", latest_incarnation=0)
        self.now += LEASE_S + 1.0
        self.assertThat(drop_expired_targets(self.targets), Equals(["t-1"]))
        self._announce(sequence=9)
        self.assertThat(self._state(), Equals("leaving"))
        owned = self.targets.owned_by_target["t-1"]
        self.assertThat(owned.admission.closed, Equals(Reason.TARGET_LEAVING))

    def test_target_that_has_moved_away_and_back_is_ready(self) -> None:
        """Guards against an owner that refuses a target which it had before."""
        self._announce()
        self._announce(state="leaving", sequence=6)
        self.now += LEASE_S + 1.0
        drop_expired_targets(self.targets)
        self._announce(epoch=2, sequence=7)
        self.assertThat(self._state(), Equals("ready"))

    def test_limit_of_a_target_outlives_its_lease(self) -> None:
        """Guards against a limit forgotten because renewals were late."""
        self._announce()
        before = self.targets.owned_by_target["t-1"].admission.rate_limit
        before.name(1.0)
        self.now += LEASE_S + 1.0
        drop_expired_targets(self.targets)
        self._announce(sequence=9)
        after = self.targets.owned_by_target["t-1"].admission.rate_limit
        self.assertThat(after.per_s, Equals(1.0))
        self._announce(incarnation=200, sequence=0)
        restarted = self.targets.owned_by_target["t-1"].admission.rate_limit
        self.assertThat(restarted.per_s, Is(None))

    def test_next_incarnation_of_a_target_is_ready_again(self) -> None:
        """Guards against a restarted target that never gets requests.

        Its sequence numbers start again from zero.
        """
        self._announce()
        mark_target_leaving(self.targets, "t-1", latest_incarnation=0)
        self._announce(incarnation=200, sequence=0)
        self.assertThat(self._state(), Equals("ready"))

    def test_earlier_incarnation_is_refused(self) -> None:
        """Guards against a delayed renewal of a process that has since crashed."""
        self._announce(incarnation=200)
        self.assertThat(self._announce(sequence=99), IsInstance(Failure))

    def test_address_belongs_to_the_target_that_started_last(self) -> None:
        """Guards against requests to a target whose address another target uses."""
        self._announce()
        self.assertThat(
            self._announce(target="t-2", incarnation=200), IsInstance(Success)
        )
        self.assertThat(list(self.targets.owned_by_target), Equals(["t-2"]))
        self.assertThat(self._announce(sequence=99), IsInstance(Failure))

    def test_target_announced_before_configuration_gets_requests(self) -> None:
        """Guards against a target that stays closed after its node has restarted.

        Its first announcement may arrive before the tables that define its queue.
        """
        self._announce()
        limits = AdmissionLimits(4, 8, 2.0, queue_by_deadline=True)
        owned = apply_limits(self.targets.owned_by_target["t-1"], limits)
        self.assertThat(owned.admission, IsInstance(DeadlineAdmission))
        self.assertThat(owned.admission.closed, Is(None))

    def test_leaving_target_stays_closed_when_queue_type_changes(self) -> None:
        """Guards against new requests to a leaving target after a change of tables."""
        self._announce()
        mark_target_leaving(self.targets, "t-1", latest_incarnation=0)
        limits = AdmissionLimits(4, 8, 2.0, queue_by_deadline=True)
        owned = apply_limits(self.targets.owned_by_target["t-1"], limits)
        self.assertThat(owned.admission.closed, Equals(Reason.TARGET_LEAVING))

    def test_restarted_owner_stays_away_from_a_target_that_had_left(self) -> None:
        """Guards against a late renewal that reaches an owner which has restarted.

        Another node remembers that the target is leaving for good.
        """
        self.targets.leaving.merge([Leaving("t-1", 100, 1.5)])
        self._announce(sequence=5)
        self.assertThat(self._state(), Equals("leaving"))
        self._announce(incarnation=200, sequence=0)
        self.assertThat(self._state(), Equals("ready"))

    def test_target_that_withdraws_before_it_has_announced_stays_away(self) -> None:
        """Guards against a late renewal after a withdrawal at a restarted owner."""
        mark_target_leaving(self.targets, "t-1", latest_incarnation=150)
        self._announce(incarnation=100)
        self.assertThat(self._state(), Equals("leaving"))
        self._announce(incarnation=200, sequence=0)
        self.assertThat(self._state(), Equals("ready"))

    def test_target_that_withdraws_after_its_lease_stays_away(self) -> None:
        """Guards against a withdrawal that is ignored since renewals were late."""
        self._announce()
        self.now += LEASE_S + 1.0
        drop_expired_targets(self.targets)
        mark_target_leaving(self.targets, "t-1", latest_incarnation=0)
        self._announce(sequence=9)
        self.assertThat(self._state(), Equals("leaving"))
