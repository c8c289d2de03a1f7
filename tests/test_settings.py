"""Settings files: all faults are reported at once with their locations."""

import testtools
from returns.result import Failure, Success
from testtools.matchers import Contains, Equals, HasLength, IsInstance

from siskinlug.settings import parse_settings

GOOD = """
[node]
name = n1
vm = vm1
failure_domain = glasgow-1
caller_port = 0
peer_port = 0
admin_port = 0

[fleet]
log_url = http://127.0.0.1:9000
token = 0123456789abcdef
"""


class SettingsTest(testtools.TestCase):
    def test_defaults_are_filled_in(self) -> None:
        settings = parse_settings(GOOD, file="node.ini")
        self.assertThat(settings, IsInstance(Success))
        self.assertThat(settings.unwrap().limits.body_bytes, Equals(1 << 30))

    def test_every_fault_is_reported_with_its_line(self) -> None:
        """Guards against a parser that reports one fault only, or no line numbers."""
        text = GOOD.replace("caller_port = 0", "caller_port = 70000")
        text += "typo = 1\n[extra]\n"
        faults = parse_settings(text, file="node.ini")
        self.assertThat(faults, IsInstance(Failure))
        lines = [str(fault) for fault in faults.failure()]
        self.assertThat(lines, HasLength(3))
        self.assertThat(
            lines,
            Contains("node.ini:6: [node] caller_port: 70000 is outside 0 to 65535"),
        )
        self.assertThat(lines, Contains("node.ini:13: [fleet] typo: unknown key"))
