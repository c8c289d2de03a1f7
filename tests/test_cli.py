"""The command line against the stand-in log service and a fake admin port."""

import asyncio
import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import testtools
from testtools.matchers import Contains, Equals
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler
from typer.testing import CliRunner

from siskinlug.admin import signals_page
from siskinlug.announcements import (
    AdmissionLimits,
    OwnedTargets,
    accept_announcement,
    mark_target_leaving,
)
from siskinlug.cli import ExitCode, _format_cell, app
from siskinlug.messages import Announcement
from siskinlug.target_signals import SignalMemory, TargetSignals, remember_signals
from standins.log_service import LogState, serve

EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "robe-hire"
ROUTES, POOLS = EXAMPLE / "routes.ini", EXAMPLE / "pools.ini"


class _AdminHandler(RequestHandler):
    """Fake admin port of a node in a fleet of two, where the other node is dead."""

    def initialize(self, ports: list[int], behind: list[bool]) -> None:
        self.ports, self.behind = ports, behind

    def get(self, page: str) -> None:
        if page == "configuration":
            self.write({"pools_version": 0 if self.behind[0] else 1})
            return
        nodes = [
            {"node": "n1", "state": "alive", "admin_port": self.ports[0]},
            {"node": "n2", "state": "dead", "admin_port": 1},
        ]
        self.write(json.dumps([n | {"host": "127.0.0.1"} for n in nodes]))


@contextmanager
def _services() -> Iterator[tuple[LogState, str, str, list[bool]]]:
    """Serve a log and an admin port from a thread, since the command blocks."""
    state, behind = LogState(), [False]
    ports: list[int] = []
    ready, loops = threading.Event(), []

    async def run() -> None:
        _, log_port = serve(state)
        sockets = bind_sockets(0, "127.0.0.1")
        admin_port = sockets[0].getsockname()[1]
        options = {"ports": [admin_port], "behind": behind}
        HTTPServer(Application([(r"/(\w+)", _AdminHandler, options)])).add_sockets(
            sockets
        )
        ports.extend([log_port, admin_port])
        stop = asyncio.Event()
        loops.append((asyncio.get_running_loop(), stop))
        ready.set()
        await stop.wait()

    thread = threading.Thread(target=asyncio.run, args=(run(),))
    thread.start()
    ready.wait()
    log, admin = (f"http://127.0.0.1:{port}" for port in ports)
    try:
        yield state, log, admin, behind
    finally:
        loop, stop = loops[0]
        loop.call_soon_threadsafe(stop.set)
        thread.join()


def _run(*arguments: object) -> Any:
    return CliRunner().invoke(app, [str(argument) for argument in arguments])


def _json(*arguments: object) -> Any:
    return json.loads(_run(*arguments, "--json").stdout)


class CliTest(testtools.TestCase):
    def test_check_lists_every_fault(self) -> None:
        """Guards against a check that stops at the first fault."""
        self.assertThat(_run("check", ROUTES, POOLS).exit_code, Equals(ExitCode.DONE))
        with TemporaryDirectory() as directory:
            faulty = Path(directory) / "pools.ini"
            faulty.write_text("[p]\nservice = s\nslots = -1\nqueue = x\n")
            result = _run("check", ROUTES, faulty)
            self.assertThat(result.exit_code, Equals(ExitCode.INVALID))
            # Two faulty keys, and nine routes to three missing pools.
            self.assertThat(result.stderr.count("\n"), Equals(11))
            self.assertThat(result.stderr, Contains(f"{faulty}:3: [p] slots: -1 is"))
            faults = _json("check", ROUTES, faulty)["faults"]
            self.assertThat({f["line"] for f in faults} >= {3, 4}, Equals(True))

    def test_publish_diff_and_history(self) -> None:
        with _services() as (_, log, _, _):
            first = _json("publish", "pools", POOLS, "--log", log, "--base", 0)
            self.assertThat(first["version"], Equals(1))
            same = _run("diff", "pools", POOLS, "--log", log)
            self.assertThat(same.exit_code, Equals(ExitCode.DONE))
            new = _run("diff", "routes", ROUTES, "--log", log)
            self.assertThat(new.exit_code, Equals(ExitCode.DIFFERENT))
            asked = CliRunner().invoke(
                app, ["publish", "routes", str(ROUTES), "--log", log], input="n\n"
            )
            self.assertThat(asked.exit_code, Equals(ExitCode.CANCELLED))
            stale = _run("publish", "pools", POOLS, "--log", log, "--base", 0)
            self.assertThat(stale.exit_code, Equals(ExitCode.CONFLICT))
            self.assertThat(stale.stderr, Contains(first["change"]))
            done = _run("publish", "routes", ROUTES, "--log", log, "--yes")
            self.assertThat(done.exit_code, Equals(ExitCode.DONE))
            changes = _json("history", "--log", log)
            self.assertThat([c["table"] for c in changes], Equals(["routes", "pools"]))

    def test_publish_waits_for_every_alive_node(self) -> None:
        """Guards against success while a node still uses the old table."""
        arguments = ["publish", "pools", POOLS, "--base", 0, "--wait", 0.3]
        for is_behind, code in [(False, ExitCode.DONE), (True, ExitCode.NOT_IN_FORCE)]:
            with _services() as (_, log, admin, behind):
                behind[0] = is_behind
                result = _run(*arguments, "--log", log, "--node", admin)
                self.assertThat(result.exit_code, Equals(code))

    def test_log_that_is_down_has_its_own_exit_code(self) -> None:
        with _services() as (state, log, _, _):
            state.faults.down = "refuse"
            for command in (["diff", "pools", POOLS], ["history"]):
                result = _run(*command, "--log", log)
                self.assertThat(result.exit_code, Equals(ExitCode.UNREACHABLE))

    def test_log_without_its_first_records_is_not_read_as_empty(self) -> None:
        """Guards against a diff to an empty table, published as version 1."""
        with _services() as (state, log, _, _):
            state.append("configuration", None)
            state.append("configuration", None)
            state.faults.retain_records = 1
            result = _run("diff", "pools", POOLS, "--log", log)
            self.assertThat(result.exit_code, Equals(ExitCode.UNREACHABLE))

    def test_settle_cancels_a_change_that_did_not_arrive(self) -> None:
        with _services() as (_, log, _, _):
            settled = _run("settle", "pools", "c1", "--base", 0, "--log", log)
            self.assertThat(settled.exit_code, Equals(ExitCode.CANCELLED))
            late = _run(
                "publish", "pools", POOLS, "--base", 0, "--id", "c1", "--log", log
            )
            self.assertThat(late.exit_code, Equals(ExitCode.CANCELLED))

    def test_show_nodes(self) -> None:
        with _services() as (_, _, admin, _):
            shown = _run("show", "nodes", "--node", admin)
            self.assertThat(shown.stdout, Contains("n2"))
            gone = _run("show", "nodes", "--node", "http://127.0.0.1:1")
            self.assertThat(gone.exit_code, Equals(ExitCode.UNREACHABLE))


class CellTest(testtools.TestCase):
    def test_load_report_of_a_candidate_is_one_cell(self) -> None:
        """Guards against ``explain`` that fails once a candidate has a load report."""
        report = ["i-1", 4, 2, 0, 20.0, 20.0, 2, 0.0]
        self.assertThat(_format_cell(report), Contains("i-1 4 2"))


class SignalsPageTest(testtools.TestCase):
    def test_limited_and_leaving_targets_are_shown_to_operators(self) -> None:
        """Guards against limits that operators can see only in logs."""
        targets = OwnedTargets(
            monotonic=lambda: 1.0, limits_of=lambda _m: AdmissionLimits(4, 8, 2.0)
        )
        for name, port in (("t-1", 81), ("t-2", 82), ("t-3", 83)):
            announcement = Announcement(
                target=name,
                service="s",
                host="10.0.0.1",
                port=port,
                slots=4,
                incarnation=5,
                epoch=0,
                state="ready",
            )
            accept_announcement(targets, announcement, alternatives=())
        targets.owned_by_target["t-1"].admission.rate_limit.name(2.0)
        mark_target_leaving(targets, "t-2", latest_incarnation=0)
        memory = SignalMemory(targets.leaving)
        remember_signals(memory, ("t-9", 7), TargetSignals(True, 4.0, True))
        rows = signals_page(targets, memory)({})
        shown = [(r["target"], r["leaving"], r["limit_per_s"]) for r in rows]
        expected = [("t-1", False, 2.0), ("t-2", True, None), ("t-9", True, 4.0)]
        self.assertThat(shown, Equals(expected))
        self.assertThat(rows[0]["ready_in_s"], Equals(0.5))
