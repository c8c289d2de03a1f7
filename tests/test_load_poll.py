"""Load polls over datagrams on loopback."""

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
# Far above a round trip on loopback; a test never waits for all of it.
WAIT_S = 5.0


TURN = QueuePosition(1, 2.5)


def _report(target: str, position: QueuePosition) -> TargetReport | None:
    assert position == TURN
    if target == "gone":
        return None
    return TargetReport(target, 0.9, True, 1, 5, 0.0)


def _free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


async def _ask(answerer: LoadPolls, targets: list[str], wait_s: float) -> list[str]:
    asker = make_polls(_report, token=TOKEN)
    port = _free_port()
    async with (
        open_polls(answerer, host=HOST, port=port),
        open_polls(asker, host=HOST, port=_free_port()),
    ):
        asked = [PolledNode((HOST, port), targets)]
        reports = await poll_targets(asker, asked, TURN, wait_s=wait_s)
        return [report.target for report in reports]


class LoadPollTest(testtools.TestCase):
    def test_owner_reports_on_its_targets(self) -> None:
        """Guards against an answer that is not matched with its question."""
        answerer = make_polls(_report, token=TOKEN)
        found = asyncio.run(_ask(answerer, ["t-1", "t-2"], WAIT_S))
        self.assertThat(found, Equals(["t-1", "t-2"]))

    def test_target_that_takes_no_requests_is_not_reported(self) -> None:
        """Guards against requests placed at a target that is leaving."""
        answerer = make_polls(_report, token=TOKEN)
        found = asyncio.run(_ask(answerer, ["gone", "t-2"], WAIT_S))
        self.assertThat(found, Equals(["t-2"]))

    def test_poll_with_another_key_is_not_answered(self) -> None:
        """Guards against strangers that learn the load or place work by it."""
        answerer = make_polls(_report, token="another-token-entirely")
        self.assertThat(asyncio.run(_ask(answerer, ["t-1"], 0.1)), HasLength(0))

    def test_silent_owner_hides_only_its_own_targets(self) -> None:
        """Guards against one lost datagram that delays or fails the whole choice."""

        async def main() -> list[str]:
            asker = make_polls(_report, token=TOKEN)
            answerer = make_polls(_report, token=TOKEN)
            ports = [_free_port() for _ in range(3)]
            async with (
                open_polls(answerer, host=HOST, port=ports[0]),
                open_polls(asker, host=HOST, port=ports[1]),
            ):
                asked = [PolledNode((HOST, ports[0]), ["t-1"])]
                asked.append(PolledNode((HOST, ports[2]), ["t-2"]))
                reports = await poll_targets(asker, asked, TURN, wait_s=0.3)
                return [report.target for report in reports]

        self.assertThat(asyncio.run(main()), Equals(["t-1"]))

    def test_unreadable_datagram_is_passed_over(self) -> None:
        """Guards against a process that ends on bytes that are not a message."""
        polls = make_polls(_report, token=TOKEN)
        for data in (b"", b"{", b'["ask",1]', b"\xff" * 40):
            polls.datagram_received(data, (HOST, 9))
        self.assertThat(polls.round_by_number, Equals({}))
