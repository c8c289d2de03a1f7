"""Announcements that come late, twice or from an earlier process."""

import testtools
from returns.result import Failure, Success
from testtools.matchers import Equals, Is, IsInstance

from siskinlug.announcements import (
    AdmissionLimits,
    OwnedTargets,
    accept_announcement,
    apply_limits,
    withdraw,
)
from siskinlug.deadline_queue import DeadlineAdmission
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
        self.targets = OwnedTargets(
            monotonic=lambda: 1.0, limits_of=lambda _m: AdmissionLimits(4, 8, 2.0)
        )

    def _take(self, **changed: object) -> object:
        return accept_announcement(self.targets, _message(**changed), alternatives=())

    def _state(self, target: str = "t-1") -> str:
        return self.targets.owned_by_target[target].announcement["state"]

    def test_late_renewal_does_not_undo_leaving(self) -> None:
        """Guards against new work for a target whose renewal overtook its leaving."""
        self._take()
        self._take(state="leaving", sequence=6)
        self._take(sequence=5)
        self.assertThat(self._state(), Equals("leaving"))

    def test_leaving_target_stays_so(self) -> None:
        """Guards against a target that says ready after its leave was acknowledged."""
        self._take()
        withdraw(self.targets, "t-1")
        self._take(sequence=9)
        self.assertThat(self._state(), Equals("leaving"))

    def test_next_incarnation_of_a_target_is_ready_again(self) -> None:
        """Guards against a restarted target that is never used, its counts new."""
        self._take()
        withdraw(self.targets, "t-1")
        self._take(incarnation=200, sequence=0)
        self.assertThat(self._state(), Equals("ready"))

    def test_earlier_incarnation_is_refused(self) -> None:
        """Guards against a delayed renewal of a process that has crashed."""
        self._take(incarnation=200)
        self.assertThat(self._take(sequence=99), IsInstance(Failure))

    def test_address_belongs_to_the_target_that_started_last(self) -> None:
        """Guards against requests for a target whose address another one has."""
        self._take()
        self.assertThat(self._take(target="t-2", incarnation=200), IsInstance(Success))
        self.assertThat(list(self.targets.owned_by_target), Equals(["t-2"]))
        self.assertThat(self._take(sequence=99), IsInstance(Failure))

    def test_target_that_came_before_the_configuration_takes_work(self) -> None:
        """Guards against a target that stays closed after a restart of its node.

        Its first announcement may come before the tables that say how it is queued.
        """
        self._take()
        limits = AdmissionLimits(4, 8, 2.0, queue_by_deadline=True)
        owned = apply_limits(self.targets.owned_by_target["t-1"], limits)
        self.assertThat(owned.admission, IsInstance(DeadlineAdmission))
        self.assertThat(owned.admission.closed, Is(None))

    def test_leaving_target_stays_closed_under_another_way_of_waiting(self) -> None:
        """Guards against new work for a leaving target after a change of tables."""
        self._take()
        withdraw(self.targets, "t-1")
        limits = AdmissionLimits(4, 8, 2.0, queue_by_deadline=True)
        owned = apply_limits(self.targets.owned_by_target["t-1"], limits)
        self.assertThat(owned.admission.closed, Equals(Reason.TARGET_LEAVING))
