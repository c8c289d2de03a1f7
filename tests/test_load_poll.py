"""Load polls over UDP on loopback."""

import asyncio
import socket

import testtools
from testtools.matchers import Equals, HasLength

from siskinlug.load_poll import (
    LoadPolls,
    PolledNode,
    QueuePosition,
    TargetReport,
    make_polls,
    open_polls,
    poll_targets,
)

HOST = "127.0.0.1"
TOKEN = "a-token-of-the-tests"
# Far above a round trip on loopback; the tests never wait this long.
WAIT_S = 5.0


POSITION = QueuePosition(1, 2.5)


def _report(target: str, position: QueuePosition) -> TargetReport | None:
    assert position == POSITION
    if target == "gone":
        return None
    return TargetReport(target, 0.9, True, 1, 5, 0.0)


def _free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


async def _poll(responder: LoadPolls, targets: list[str], wait_s: float) -> list[str]:
    poller = make_polls(_report, token=TOKEN)
    port = _free_port()
    async with (
        open_polls(responder, host=HOST, port=port),
        open_polls(poller, host=HOST, port=_free_port()),
    ):
        nodes = [PolledNode((HOST, port), targets)]
        reports = await poll_targets(poller, nodes, POSITION, wait_s=wait_s)
        return [report.target for report in reports]


class LoadPollTest(testtools.TestCase):
    def test_owner_reports_on_its_targets(self) -> None:
        """Guards against a response that is not matched with its poll."""
        responder = make_polls(_report, token=TOKEN)
        found = asyncio.run(_poll(responder, ["t-1", "t-2"], WAIT_S))
        self.assertThat(found, Equals(["t-1", "t-2"]))

    def test_target_that_accepts_no_requests_is_not_reported(self) -> None:
        """Guards against requests sent to a target that is leaving."""
        responder = make_polls(_report, token=TOKEN)
        found = asyncio.run(_poll(responder, ["gone", "t-2"], WAIT_S))
        self.assertThat(found, Equals(["t-2"]))

    def test_poll_with_another_key_is_not_answered(self) -> None:
        """Guards against unauthorized processes that read the load of targets."""
        responder = make_polls(_report, token="another-token-entirely")
        self.assertThat(asyncio.run(_poll(responder, ["t-1"], 0.1)), HasLength(0))

    def test_silent_owner_hides_only_its_own_targets(self) -> None:
        """Guards against a lost datagram that delays or fails the whole selection."""

        async def main() -> list[str]:
            poller = make_polls(_report, token=TOKEN)
            responder = make_polls(_report, token=TOKEN)
            ports = [_free_port() for _ in range(3)]
            async with (
                open_polls(responder, host=HOST, port=ports[0]),
                open_polls(poller, host=HOST, port=ports[1]),
            ):
                nodes = [PolledNode((HOST, ports[0]), ["t-1"])]
                nodes.append(PolledNode((HOST, ports[2]), ["t-2"]))
                reports = await poll_targets(poller, nodes, POSITION, wait_s=0.3)
                return [report.target for report in reports]

        self.assertThat(asyncio.run(main()), Equals(["t-1"]))

    def test_malformed_datagram_is_ignored(self) -> None:
        """Guards against a process that fails on bytes that are no message."""
        polls = make_polls(_report, token=TOKEN)
        for data in (b"", b"{", b'["ask",1]', b"\xff" * 40):
            polls.datagram_received(data, (HOST, 9))
        self.assertThat(polls.pending_by_id, Equals({}))
