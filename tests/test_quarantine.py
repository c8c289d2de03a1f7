"""Quarantine: only requests that crash their targets are refused."""

import asyncio
import random

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Equals

from bench.virtual_time import run_virtual
from siskinlug.body import BodyStream, body_from_bytes
from siskinlug.quarantine import (
    PendingResets,
    Quarantine,
    Suspicion,
    TargetRuns,
    fingerprint_of,
    fingerprint_status,
    make_quarantine,
    merge_suspicions,
    record_crash,
    record_reset,
    record_survival,
    resolve_reset,
    run_alone_if_suspect,
    suspicions_to_gossip,
)

_FINGERPRINTS = ["f0", "f1"]
_SUSPICIONS = st.lists(
    st.builds(
        Suspicion,
        st.sampled_from(_FINGERPRINTS),
        st.sampled_from([f"t@{n}" for n in range(12)]),
        st.sampled_from([0.0, 5.0, 700.0]),
        st.booleans(),
        st.booleans(),
    ),
    min_size=12,
    max_size=40,
)


def _recorded_crashes(quarantine: Quarantine) -> dict[str, object]:
    return {f: dict(c) for f, c in quarantine.crashes_by_fingerprint.items() if c}


def _new_quarantine() -> Quarantine:
    return make_quarantine(monotonic=lambda: 1000.0)


class QuarantineTest(testtools.TestCase):
    @given(_SUSPICIONS, st.randoms(use_true_random=False))
    def test_suspicions_converge_in_any_order(
        self, suspicions: list[Suspicion], rng: random.Random
    ) -> None:
        """Guards against nodes whose state depends on the order of gossip messages."""
        first, second = _new_quarantine(), _new_quarantine()
        for suspicion in suspicions:
            merge_suspicions(first, [suspicion])
        shuffled = suspicions + rng.choices(suspicions, k=5) if suspicions else []
        rng.shuffle(shuffled)
        while shuffled:
            size = rng.randint(1, 4)
            merge_suspicions(second, [list(s) for s in shuffled[:size]])
            del shuffled[:size]
        self.assertThat(_recorded_crashes(second), Equals(_recorded_crashes(first)))

    @given(st.integers(0, 3), st.integers(1, 4), st.randoms(use_true_random=False))
    def test_only_the_culprit_is_refused(
        self, delay: int, innocents: int, rng: random.Random
    ) -> None:
        """Guards against a wrong refusal of a frequent request, and a missing one.

        A request that crashes its target is resent beside frequent harmless requests,
        while suspicions reach the other nodes late. A harmless request may then be in
        flight at two crashes.
        """
        nodes = [_new_quarantine() for _ in range(3)]
        late: list[tuple[int, Suspicion]] = []
        crashes = 0
        others = [f"innocent-{n}" for n in range(innocents)]
        for step in range(40):
            for due, suspicion in late:
                if due == step:
                    for node in nodes:
                        merge_suspicions(node, [suspicion])
            node = rng.choice(nodes)
            if fingerprint_status(node, "culprit") == "refused":
                continue
            running = {"culprit"}
            if fingerprint_status(node, "culprit") == "clear":
                running |= {f for f in others if fingerprint_status(node, f) == "clear"}
            crashes += 1
            new = record_crash(node, f"t@{step}", running)
            late += [(step + delay + 1, suspicion) for suspicion in new]
        for node in nodes:
            assert fingerprint_status(node, "culprit") == "refused"
            assert all(fingerprint_status(node, f) != "refused" for f in others)
        assert crashes <= 3 + delay + 1

    def test_surviving_request_is_cleared_on_all_nodes(self) -> None:
        """Guards against a frequent request that has to run alone for ten minutes."""
        here, there = _new_quarantine(), _new_quarantine()
        merge_suspicions(there, record_crash(here, "t@1", ["a", "b"]))
        self.assertThat(fingerprint_status(there, "a"), Equals("suspect"))
        merge_suspicions(there, record_survival(here, "a"))
        merge_suspicions(there, [Suspicion("a", "t@1", 0.0, False)])
        self.assertThat(fingerprint_status(there, "a"), Equals("clear"))
        self.assertThat(fingerprint_status(there, "b"), Equals("suspect"))

    def test_later_report_of_crash_does_not_set_alone(self) -> None:
        """Guards against a request taken to have run alone at a crash it shared.

        A later report of the same crash may list fewer requests than the first one.
        """
        quarantine = _new_quarantine()
        record_crash(quarantine, "t@1", ["a", "b"])
        record_crash(quarantine, "t@1", ["b"])
        record_crash(quarantine, "t@2", ["a", "b"])
        self.assertThat(fingerprint_status(quarantine, "b"), Equals("suspect"))

    def test_suspicions_expire_and_memory_is_bounded(self) -> None:
        now = [0.0]
        quarantine = make_quarantine(
            monotonic=lambda: now[0], retention_s=60.0, max_suspicions=10
        )
        for crash in ("t@1", "t@2"):
            record_crash(quarantine, crash, ["bad"])
        for number in range(100):
            record_crash(quarantine, f"u@{number}", [f"f{number}", "x"])
        self.assertThat(quarantine.suspicion_count <= 10, Equals(True))
        self.assertThat(fingerprint_status(quarantine, "bad"), Equals("refused"))
        self.assertThat(
            len(suspicions_to_gossip(quarantine, limit=4)) <= 11, Equals(True)
        )
        now[0] = 61.0
        self.assertThat(fingerprint_status(quarantine, "bad"), Equals("clear"))
        record_crash(quarantine, "v@1", ["y"])
        self.assertThat(quarantine.suspicion_count, Equals(1))

    def test_reset_without_crash_causes_no_suspicion(self) -> None:
        """Guards against quarantine because a running target resets connections."""
        now = [0.0]
        resets = PendingResets(monotonic=lambda: now[0])
        record_reset(resets, "t", 7, ["a", "b"])
        record_reset(resets, "t", 7, ["b"])
        self.assertIs(resolve_reset(resets, "t", 7), None)
        self.assertThat(resolve_reset(resets, "t", 8), Equals(("t@7", ["a", "b"])))
        record_reset(resets, "t", 8, ["a"])
        now[0] = 1.0
        self.assertIs(resolve_reset(resets, "t", 8), None)
        self.assertIs(resolve_reset(resets, "t", None), None)

    def test_fingerprint_depends_on_each_field(self) -> None:
        """Guards against ignored fields and ambiguous boundaries between fields."""
        fingerprints = [
            fingerprint_of("", "GET", "/a", b""),
            fingerprint_of("", "GET", "/b", b""),
            fingerprint_of("", "GE", "T/a", b""),
            fingerprint_of("", "GET", "/a", b"x"),
            fingerprint_of("k", "GET", "/a", b""),
        ]
        self.assertThat(len(set(fingerprints)), Equals(5))
        self.assertThat(fingerprint_of("k", "PUT", "/b", b"y"), Equals(fingerprints[4]))
        stream = body_from_bytes(b"x")
        self.assertThat(
            fingerprint_of("", "GET", "/a", stream), Equals(fingerprints[3])
        )

    @given(st.lists(st.integers(1, 9), min_size=1))
    def test_chunks_do_not_change_a_fingerprint(self, sizes: list[int]) -> None:
        """Guards against a resent upload with a different fingerprint."""
        body = BodyStream(replay_bytes=8)
        data = b"abcdefghijkl"
        for size in sizes:
            body.feed(data[:size])
            data = data[size:]
        body.feed(data)
        whole = BodyStream(replay_bytes=8)
        whole.feed(b"abcdefghijkl")
        self.assertThat(
            fingerprint_of("", "PUT", "/", body, declared_length="12"),
            Equals(fingerprint_of("", "PUT", "/", whole, declared_length="12")),
        )


class RunAloneTest(testtools.TestCase):
    def test_suspect_request_runs_alone_on_busy_target(self) -> None:
        """Guards against a second crash with two possible causes, and starvation.

        Without priority, a suspect request would never find a busy target idle.
        """
        quarantine = _new_quarantine()
        record_crash(quarantine, "t@1", ["bad", "other"])
        runs = TargetRuns()
        beside_suspect: list[int] = []
        ran: list[str] = []

        async def request(number: int, fingerprint: str) -> None:
            await asyncio.sleep(number * 0.01)
            async with run_alone_if_suspect(
                quarantine, runs, f"{number}", fingerprint, wait_s=0.3
            ) as may_run:
                if not may_run:
                    return
                ran.append(fingerprint)
                fingerprints = list(runs.fingerprint_by_attempt.values())
                if "bad" in fingerprints:
                    beside_suspect.append(len(fingerprints))
                await asyncio.sleep(0.05)

        async def main() -> None:
            load = [request(n, "bad" if n % 10 == 5 else "good") for n in range(60)]
            await asyncio.gather(*load)

        run_virtual(main())
        self.assertThat(set(beside_suspect), Equals({1}))
        self.assertThat(ran.count("bad"), Equals(6))
        self.assertThat(ran.count("good"), Equals(54))
        self.assertThat(runs.fingerprint_by_attempt, Equals({}))
