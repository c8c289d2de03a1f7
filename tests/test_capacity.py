"""Costs at rest that grow with the fleet stay out of frequent work."""

import asyncio
from random import Random

import testtools
from testtools.matchers import Equals

from bench.capacity_size import make_records, size_of
from bench.fleet import TOKEN
from bench.virtual_time import run_virtual
from siskinlug.ejection import TargetStatus, make_ejection, run_ejection
from siskinlug.evidence import Outcome, make_evidence, observe
from siskinlug.messages import Announcement
from siskinlug.node import ALTERNATIVES, _announce, make_node
from siskinlug.settings import parse_settings

SETTINGS = (
    "[node]\nname = node-x\nvm = vm-x\nfailure_domain = domain-0\n"
    "host = 127.0.0.1\ncaller_port = 0\npeer_port = 0\n"
    "admin_host = 127.0.0.1\nadmin_port = 0\n"
    f"[fleet]\nlog_url = http://127.0.0.1:1\npeers =\ntoken = {TOKEN}\n"
)


async def _unused(*_args: object) -> None:
    raise AssertionError("a healthy target needs neither promises nor a probe")


class RestTest(testtools.TestCase):
    def test_a_healthy_target_is_not_looked_up_in_the_tables(self) -> None:
        """Guards against a search of all pools ten times a second for each target."""
        looked_up = []

        def status() -> TargetStatus:
            looked_up.append(1)
            return TargetStatus(ready=True, slots_by_pool={})

        async def main() -> None:
            monotonic = asyncio.get_running_loop().time
            evidence = make_evidence(monotonic=monotonic)
            ejection = make_ejection(
                target="t",
                node="n",
                evidence=evidence,
                status=status,
                monotonic=monotonic,
                random=Random(1),
            )
            task = asyncio.create_task(
                run_ejection(
                    ejection,
                    pools=lambda: (),
                    call_peer=_unused,  # type: ignore[arg-type]
                    probe=_unused,  # type: ignore[arg-type]
                    note=lambda kind, detail: None,
                    on_change=lambda: None,
                )
            )
            for _ in range(100):
                observe(evidence, Outcome("r", True, False, 0.01, 0.01))
                await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.wait([task])

        run_virtual(main())
        self.assertThat(len(looked_up), Equals(0))

    def test_a_target_is_told_of_a_few_nodes_that_are_alive(self) -> None:
        """Guards against sending a target to a node that is dead or leaving."""

        async def main() -> None:
            settings = parse_settings(SETTINGS, file="node.ini").unwrap()
            node = make_node(settings, random=Random(1))
            states = ("alive", "dead", "leaving")
            records = make_records(size_of(1 / 16), targets=False)
            for number, record in enumerate(records):
                held = record._replace(state=states[number % 3])
                node.membership.directory.put(held)
            alive = {
                f"{r.host}:{r.peer_port}"
                for r in node.membership.others()
                if r.state == "alive"
            }
            message = Announcement(
                target="t",
                service="s",
                host="127.0.0.1",
                port=1,
                slots=1,
                incarnation=1,
                epoch=1,
                state="ready",
            )
            named: set[str] = set()
            for _ in range(50):
                answer = _announce(node, message)
                self.assertThat(len(set(answer["alternatives"])), Equals(ALTERNATIVES))
                named.update(answer["alternatives"])
            self.assertThat(named, Equals(alive))

        asyncio.run(main())
