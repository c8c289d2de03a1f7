"""Start and stop of one daemon: invalid settings, ports in use, signals."""

import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
import testtools
from testtools.matchers import Contains, Equals, HasLength, Not

from bench.fleet import (
    ADMIN_PORT,
    CALLER_PORT,
    PEER_PORT,
    ROOT,
    NodeSpec,
    call,
    open_fleet,
    wait_until,
)

pytestmark = pytest.mark.processes


def _run_daemon(path: Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "siskinlug.daemon", "--config", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


class DaemonTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        manager = open_fleet()
        self.fleet = manager.__enter__()
        self.addCleanup(manager.__exit__, None, None, None)
        self.node = NodeSpec(1, "domain-1")

    def _write_settings(self, text: str) -> Path:
        path = self.fleet.folder / "node.ini"
        path.write_text(text)
        return path

    def test_bad_settings_name_file_section_and_key(self) -> None:
        """Guards against a daemon that starts with invalid or unknown settings."""
        text = self.fleet.settings_text(self.node, ()) + "tokn = x\n"
        path = self._write_settings(
            text.replace("caller_port = 8080", "caller_port = x")
        )
        done = _run_daemon(path)
        self.assertThat(done.returncode, Equals(2))
        lines = done.stderr.splitlines()
        self.assertThat(lines, HasLength(2))
        self.assertThat(done.stderr, Contains("[node] caller_port: 'x' is not"))
        self.assertThat(done.stderr, Contains("[fleet] tokn: unknown key"))

    def test_port_in_use_is_reported_in_one_line(self) -> None:
        """Guards against a traceback, or a daemon that runs with only some ports."""
        path = self._write_settings(self.fleet.settings_text(self.node, ()))
        with socket.create_server((self.fleet.host(1), PEER_PORT)):
            done = _run_daemon(path)
        self.assertThat(done.returncode, Equals(2))
        self.assertThat(done.stderr.splitlines(), HasLength(1))
        self.assertThat(done.stderr, Contains("[node] peer_port:"))

    def test_stop_without_work_exits_0(self) -> None:
        """Guards against a stop that hangs, or that needs the log service."""
        process = self.fleet.start_node(self.node, seeds=())
        wait_until(
            lambda: call(self.fleet.host(1), ADMIN_PORT, "GET", "/nodes").status == 200,
            "the daemon listens",
        )
        reply = call(self.fleet.host(1), ADMIN_PORT, "POST", "/nodes", body=b"{}")
        self.assertThat(reply.status, Equals(405))
        process.send_signal(signal.SIGTERM)
        self.assertThat(process.wait(), Equals(0))

    def test_sighup_applies_changed_limits_and_survives_broken_settings(self) -> None:
        """Guards against a daemon that exits on SIGHUP or on a malformed file."""
        process = self.fleet.start_node(self.node, seeds=())
        host = self.fleet.host(1)
        wait_until(
            lambda: call(host, ADMIN_PORT, "GET", "/nodes").status == 200,
            "the daemon listens",
        )
        path = self.fleet.folder / f"{self.node.name}.ini"
        original = path.read_text()

        def status_of_long_head() -> int:
            headers = {"X-Pad": "a" * 3000}
            return call(host, CALLER_PORT, "GET", "/", headers=headers).status

        before = status_of_long_head()
        path.write_text(original + "[limits]\nheader_bytes = 2048\n")
        process.send_signal(signal.SIGHUP)
        wait_until(lambda: status_of_long_head() == 431, "the limit is applied")
        self.assertThat(before, Not(Equals(431)))
        path.write_text("[node\n")
        process.send_signal(signal.SIGHUP)
        path.write_text(original)
        process.send_signal(signal.SIGHUP)
        wait_until(lambda: status_of_long_head() == before, "the limit is gone")

    def test_message_without_token_is_refused(self) -> None:
        """Guards against announcements from processes without the shared token."""
        self.fleet.start_node(self.node, seeds=())
        host = self.fleet.host(1)
        wait_until(
            lambda: call(host, ADMIN_PORT, "GET", "/nodes").status == 200,
            "the daemon listens",
        )
        for headers in ({}, {"Authorization": "Bearer wrong"}):
            reply = call(
                host, PEER_PORT, "POST", "/announce", body=b"{}", headers=headers
            )
            self.assertThat(reply.status, Equals(401))
