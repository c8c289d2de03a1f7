"""Replays of recorded traces."""

from pathlib import Path
from tempfile import TemporaryDirectory

import testtools
from testtools.matchers import Equals

from bench.replay import check_expectations, replay, summarize
from bench.trace import TRACES, load_trace, save_trace


class ReplayTest(testtools.TestCase):
    def test_recorded_traces_stay_within_their_bounds(self) -> None:
        """Guards against changes that lose, repeat or starve requests."""
        paths = sorted(TRACES.glob("*.jsonl"))
        self.assertThat(len(paths) >= 6, Equals(True))
        for seed in (1, 2, 3):
            for path in paths:
                run = replay(load_trace(path), seed=seed)
                self.assertThat(check_expectations(run), Equals([]), f"seed {seed}")

    def test_same_seed_replays_the_same_run(self) -> None:
        """Guards against use of real time or of an unseeded random source."""
        trace = load_trace(TRACES / "burst_beyond_queues.jsonl")
        first = summarize(replay(trace, seed=5))
        self.assertThat(summarize(replay(trace, seed=5)), Equals(first))

    def test_measure_outside_its_bounds_is_reported(self) -> None:
        """Guards against a check that never fails."""
        trace = load_trace(TRACES / "calm.jsonl")
        run = replay(trace._replace(expect={"useful": (0, 10)}))
        stated = ["calm: useful is 200, stated 0 to 10"]
        self.assertThat(check_expectations(run), Equals(stated))

    def test_saved_trace_equals_the_loaded_file(self) -> None:
        trace = load_trace(TRACES / "one_target_sheds.jsonl")
        path = TRACES / "one_target_sheds.jsonl"
        text = path.read_text("utf-8")
        with TemporaryDirectory() as folder:
            copy = Path(folder) / "copy.jsonl"
            save_trace(trace, copy)
            self.assertThat(copy.read_text("utf-8"), Equals(text))
