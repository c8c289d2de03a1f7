"""Log output with a stalled reader and under load."""

import os

import testtools
from testtools.matchers import Contains, Equals, GreaterThan

from siskinlug.bounded_output import (
    MAX_BUFFERED_LINES,
    MAX_LINES_PER_S,
    make_bounded_output,
)

LINE = "x" * 199 + "\n"


class BoundedOutputTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.output = make_bounded_output(self.writer, monotonic=lambda: self.now)

    def _write(self, lines: int) -> None:
        for _ in range(lines):
            self.output.write(LINE)
            self.output.flush()

    def _read(self) -> str:
        return os.read(self.reader, 1 << 20).decode()

    def test_stalled_reader_does_not_block_the_writer(self) -> None:
        """Guards against a daemon that blocks because its log is not read."""
        # A pipe holds 64 KiB, a third of these lines; the rest is buffered.
        self._write(1000)
        self.assertThat(self.output.dropped_lines, Equals(0))
        received = 0
        while received < 1000:
            received += self._read().count("\n")
            self.output.flush()
        self.assertThat(received, Equals(1000))

    def test_lines_beyond_the_rate_are_dropped_and_counted(self) -> None:
        """Guards against a log that grows without bound under load."""
        self._write(MAX_BUFFERED_LINES + 100)
        self.assertThat(self.output.dropped_lines, GreaterThan(0))
        dropped_lines = self.output.dropped_lines
        while self._read().count("\n") > 300:
            self.output.flush()
        self.now += 10 / MAX_LINES_PER_S
        self._write(1)
        self.output.flush()
        text = ""
        while "left_out" not in text:
            text += self._read()
            self.output.flush()
        self.assertThat(text, Contains(f'"lines":{dropped_lines}'))
