"""Capacity page, capacity model, and costs that must not grow with the fleet."""

import asyncio
from random import Random

import testtools
from testtools.matchers import Equals

from bench.capacity import derive_rows, fit_figures, fit_line
from bench.capacity_model import simulate_propagation
from bench.capacity_page import PAGE_PATH, TABLE_BY_NAME, render_tables
from bench.capacity_size import load_results, make_node_records, scale_size
from bench.fleet import TOKEN
from bench.virtual_time import run_virtual
from siskinlug.ejection import TargetStatus, make_ejection, run_ejection
from siskinlug.evidence import Outcome, make_evidence, record_outcome
from siskinlug.messages import Announcement
from siskinlug.node import make_node
from siskinlug.node_runtime import MAX_ALTERNATIVES, handle_announcement
from siskinlug.settings import parse_settings

SETTINGS = (
    "[node]\nname = node-x\nvm = vm-x\nfailure_domain = domain-0\n"
    "host = 127.0.0.1\ncaller_port = 0\npeer_port = 0\n"
    "admin_host = 127.0.0.1\nadmin_port = 0\n"
    f"[fleet]\nlog_url = http://127.0.0.1:1\npeers =\ntoken = {TOKEN}\n"
)


async def _unused(*_args: object) -> None:
    raise AssertionError("a healthy target needs neither reservations nor a probe")


class FleetSizeTest(testtools.TestCase):
    def test_healthy_target_is_not_looked_up_in_the_tables(self) -> None:
        """Guards against a search of all pools 10 times per second for each target."""
        lookups = []

        def status() -> TargetStatus:
            lookups.append(1)
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
                    send_reservation_request=_unused,  # type: ignore[arg-type]
                    probe=_unused,  # type: ignore[arg-type]
                    record_event=lambda kind, detail: None,
                    on_change=lambda: None,
                )
            )
            for _ in range(100):
                record_outcome(evidence, Outcome("r", True, False, 0.01, 0.01))
                await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.wait([task])

        run_virtual(main())
        self.assertThat(len(lookups), Equals(0))

    def test_announcement_answer_names_a_few_alive_nodes(self) -> None:
        """Guards against sending targets to dead or leaving nodes as alternatives."""

        async def main() -> None:
            settings = parse_settings(SETTINGS, file="node.ini").unwrap()
            node = make_node(settings, random=Random(1))
            states = ("alive", "dead", "leaving")
            records = make_node_records(scale_size(1 / 16), targets=False)
            for number, record in enumerate(records):
                node_record = record._replace(state=states[number % 3])
                node.membership.directory.put(node_record)
            alive = {
                f"{r.host}:{r.peer_port}"
                for r in node.membership.live_peers()
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
            alternatives: set[str] = set()
            for _ in range(50):
                answer = handle_announcement(node, message)
                self.assertThat(
                    len(set(answer["alternatives"])), Equals(MAX_ALTERNATIVES)
                )
                alternatives.update(answer["alternatives"])
            self.assertThat(alternatives, Equals(alive))

        asyncio.run(main())


class CapacityPageTest(testtools.TestCase):
    def test_page_shows_the_recorded_figures(self) -> None:
        """Guards against outdated figures or bounds on the page.

        Run ``python -m bench.capacity_page`` after a bound has changed.
        """
        text = PAGE_PATH.read_text("utf-8")
        self.assertThat(render_tables(text, load_results()), Equals(text))
        for name in TABLE_BY_NAME:
            self.assertThat(text.count(f"<!-- table {name} -->\n|"), Equals(1), name)

    def test_recorded_fits_match_the_raw_figures(self) -> None:
        """Guards against outdated fits after the raw figures have changed."""
        results = load_results()
        rows = derive_rows(results["daemon"]["sizes"])
        self.assertThat(results["daemon"]["rows"], Equals(rows))
        self.assertThat(results["daemon"]["fits"], Equals(fit_figures(rows)))
        for kind, figures in results["memory"].items():
            self.assertThat(figures["fit"], Equals(fit_line(figures["points"])), kind)


class CapacityModelTest(testtools.TestCase):
    def test_change_takes_a_hop_time_at_each_node(self) -> None:
        """Guards against a model in which nodes push changes before reading them."""
        for nodes in (1, 8, 48):
            spread = simulate_propagation(nodes, hop_s=1.0, runs=5)
            self.assertThat(spread["mean_s"] >= 1.0, Equals(True))
        # Without the log, four pushes reach at most 1 + 4 nodes in two hops, and only
        # 50 nodes per second read the log.
        self.assertThat(
            simulate_propagation(430, hop_s=1.0, runs=5)["mean_s"] > 2.0, Equals(True)
        )

    def test_line_is_fitted_exactly(self) -> None:
        """Guards against swapped axes of the fit."""
        fitted = fit_line([(1, 5.0), (2, 7.0), (5, 13.0)])
        self.assertThat(round(fitted["slope"], 9), Equals(2.0))
        self.assertThat(round(fitted["base"], 9), Equals(3.0))
        self.assertThat(fitted["residual"] < 1e-9, Equals(True))
