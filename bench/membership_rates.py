"""Measure traffic and delays of membership at several fleet sizes.

``python -m bench.membership_rates`` prints a table and writes
``out/membership_rates.json``. The members run the code of the daemon on a simulated
network in virtual time, so delays don't include processor time. Bytes are the sum of
both directions: whole HTTP messages with their heads, and an estimate of the TCP and
IP headers of one connection for each call.
"""

import argparse
import asyncio
import json
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from bench.fake_peers import TCP_KIND, FakeNetwork, make_node_record, wait_until
from bench.virtual_time import run_virtual
from siskinlug.connections import Address
from siskinlug.directory import NodeRecord, TargetRecord
from siskinlug.membership import announce_leaving, change_own, depart

SIZES = (8, 24, 86, 430)
SEED = 20
DOMAINS = 5
TARGETS_PER_NODE = 8
IDLE_S = 60.0
# After a cold start gossip repeats the new records for some time.
GOSSIP_SETTLE_S = 60.0
# An ordinary day has about 1,000 VM replacements.
REPLACEMENT_INTERVAL_S = 85.0
REPLACEMENT_COUNT = 2
SAMPLE_S = 10.0
CHANGE_COUNT = 8
DEATH_COUNT = 4
MAX_WAIT_S = 120.0
# Longer than the directory keeps dead nodes, so that the regions forget each other.
LONG_PARTITION_S = 660.0
LONG_PARTITION_SIZES = (8, 24, 86)


class _Fleet:
    """A running fleet on a simulated network."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = Random(seed)
        self.network = FakeNetwork(random=self.random)
        self.records = [
            make_node_record(number, domains=DOMAINS, targets=TARGETS_PER_NODE)
            for number in range(size)
        ]
        self.next_number = size
        self.seeds: list[Address] = [(r.host, r.peer_port) for r in self.records[:3]]

    async def start(self) -> float | None:
        """Start all nodes at once and wait until gossip has settled.

        Returns:
            Seconds until the directories agreed, or None if they did not.
        """
        for record in self.records:
            self.network.start(record, seeds=self.seeds)
        waited = await wait_until(self.network.converged, limit_s=MAX_WAIT_S)
        await asyncio.sleep(GOSSIP_SETTLE_S)
        return waited

    async def replace_one(self) -> None:
        """Replace a random node by one with another name and address.

        The old node announces that it leaves. The targets of the new node are
        announced one by one.
        """
        old = self.records.pop(self.random.randrange(3, len(self.records)))
        membership = self.network.node_by_name[old.node].membership
        announce_leaving(membership)
        await asyncio.sleep(2)
        await depart(membership)
        await self.network.kill(old.node)
        await asyncio.sleep(5)
        record = make_node_record(
            self.next_number, domains=DOMAINS, targets=TARGETS_PER_NODE
        )
        self.next_number += 1
        self.records.append(record)
        started = self.network.start(record._replace(targets=()), seeds=self.seeds)
        targets: tuple[TargetRecord, ...] = ()
        for target in record.targets:
            await asyncio.sleep(0.1)
            targets = (*targets, target)
            change_own(started, targets=targets)


async def _measure_rates(fleet: _Fleet, seconds: float) -> dict[str, Any]:
    """Measure traffic per node over a period, in bytes/s.

    Args:
        fleet: Running fleet.
        seconds: Length of the period in seconds.

    Returns:
        Means per node, in all and by kind, and the maximum of any node over
        ``SAMPLE_S`` seconds.
    """
    network = fleet.network
    before = network.traffic.sent_by_kind + network.traffic.received_by_kind
    busiest = 0.0
    left = seconds
    while left > 0:
        span = min(SAMPLE_S, left)
        start = {n: node.traffic.total() for n, node in network.node_by_name.items()}
        await asyncio.sleep(span)
        left -= span
        for name, node in network.node_by_name.items():
            # A node that starts fetches the directory, which is not steady load.
            if name in start:
                busiest = max(busiest, (node.traffic.total() - start[name]) / span)
    after = network.traffic.sent_by_kind + network.traffic.received_by_kind
    count = len(fleet.records)
    by_kind = {
        kind: round(value / seconds / count, 1)
        for kind, value in (after - before).items()
    }
    return {
        "bytes_s_node": round(sum(by_kind.values())),
        "http_bytes_s_node": round(sum(by_kind.values()) - by_kind.get(TCP_KIND, 0)),
        "busiest_node_10_s": round(busiest),
        "by_kind": by_kind,
    }


def _summarize_delays(delays: list[float | None]) -> dict[str, float | None]:
    """Return mean and maximum in seconds, or None if any delay is unknown."""
    known = [delay for delay in delays if delay is not None]
    if len(known) < len(delays):
        return {"mean_s": None, "max_s": None}
    return {"mean_s": round(sum(known) / len(known), 2), "max_s": round(max(known), 2)}


async def _measure_change_delays(fleet: _Fleet) -> dict[str, float | None]:
    """Change records of random nodes and wait until all nodes know each change."""
    delays = []
    for number in range(CHANGE_COUNT):
        node = fleet.random.choice(fleet.records).node
        membership = fleet.network.node_by_name[node].membership
        targets = membership.directory.own_record.targets
        change_own(membership, targets=(targets[0]._replace(epoch=number + 2),))
        version = membership.directory.own_record.version

        def known_to_all(node: str = node, version: int = version) -> bool:
            return all(
                other.membership.directory.record_by_node[node].version >= version
                for other in fleet.network.node_by_name.values()
            )

        delays.append(await wait_until(known_to_all, limit_s=MAX_WAIT_S))
        await asyncio.sleep(5)
    return _summarize_delays(delays)


def _all_known_dead(fleet: _Fleet, nodes: list[str]) -> Callable[[], bool]:
    """Return a condition: every running node knows that these nodes are dead."""

    def all_known() -> bool:
        return all(
            fleet.network.count_states(node).keys() <= {"dead", "unknown"}
            for node in nodes
        )

    return all_known


async def _measure_death_delays(fleet: _Fleet) -> dict[str, float | None]:
    """Kill random nodes one by one and wait until all others know each death."""
    delays = []
    for _ in range(DEATH_COUNT):
        node = fleet.records.pop(fleet.random.randrange(3, len(fleet.records))).node
        await fleet.network.kill(node)
        delays.append(
            await wait_until(_all_known_dead(fleet, [node]), limit_s=MAX_WAIT_S)
        )
        await asyncio.sleep(5)
    return _summarize_delays(delays)


async def _measure_domain_loss(fleet: _Fleet) -> dict[str, Any]:
    """Kill all nodes of one failure domain at once and measure the consequences."""
    lost = [r for r in fleet.records if r.failure_domain == "domain-1"]
    fleet.records = [r for r in fleet.records if r not in lost]
    for record in lost:
        await fleet.network.kill(record.node)
    rates = asyncio.create_task(_measure_rates(fleet, 20))
    delay = await wait_until(
        _all_known_dead(fleet, [record.node for record in lost]), limit_s=MAX_WAIT_S
    )
    measured = await rates
    return {
        "nodes": len(lost),
        "known_s": None if delay is None else round(delay, 2),
        "bytes_s_node_20_s": measured["bytes_s_node"],
        "busiest_node_10_s": measured["busiest_node_10_s"],
        "by_kind": measured["by_kind"],
        "wrongly_dead": _count_wrongly_dead(fleet),
    }


def _count_wrongly_dead(fleet: _Fleet) -> int:
    """Count the directory entries in which a running node is listed as dead."""
    return sum(fleet.network.count_states(r.node)["dead"] for r in fleet.records)


async def _measure_partition(fleet: _Fleet, seconds: float) -> dict[str, Any]:
    """Partition the regions, heal the partition and measure the convergence.

    Args:
        fleet: Running fleet.
        seconds: Length of the partition in seconds.
    """
    region_by_node = {record.node: record.region for record in fleet.records}
    fleet.network.is_link_cut = lambda sender, receiver: (
        region_by_node[sender] != region_by_node[receiver]
    )
    await asyncio.sleep(seconds)
    fleet.network.is_link_cut = lambda sender, receiver: False
    rates = asyncio.create_task(_measure_rates(fleet, 60))
    delay = await wait_until(fleet.network.converged, limit_s=MAX_WAIT_S)
    measured = await rates
    return {
        "partition_s": seconds,
        "rejoined_s": None if delay is None else round(delay, 2),
        "bytes_s_node_60_s": measured["bytes_s_node"],
        "busiest_node_10_s": measured["busiest_node_10_s"],
    }


async def _measure_size(size: int, seed: int) -> dict[str, Any]:
    """Run all measurements on a fleet of one size."""
    fleet = _Fleet(size, seed)
    network = fleet.network
    cold_start_s = await fleet.start()
    result: dict[str, Any] = {
        "size": size,
        "cold_start_s": None if cold_start_s is None else round(cold_start_s, 2),
        "rest": await _measure_rates(fleet, IDLE_S),
    }

    async def replace_nodes() -> None:
        for _ in range(REPLACEMENT_COUNT):
            await fleet.replace_one()
            await asyncio.sleep(REPLACEMENT_INTERVAL_S - 7.8)

    replacing = asyncio.create_task(replace_nodes())
    result["replacing"] = await _measure_rates(
        fleet, REPLACEMENT_COUNT * REPLACEMENT_INTERVAL_S
    )
    await replacing
    result["change"] = await _measure_change_delays(fleet)
    calls_before: Counter[str] = Counter(network.calls_by_path)
    result["partition"] = await _measure_partition(fleet, 60)
    if size in LONG_PARTITION_SIZES:
        result["long_partition"] = await _measure_partition(fleet, LONG_PARTITION_S)
    result["calls_in_partitions"] = dict(network.calls_by_path - calls_before)
    # The smallest size has too few nodes for several deaths.
    if size > DEATH_COUNT + 4:
        result["death"] = await _measure_death_delays(fleet)
    else:
        node: NodeRecord = fleet.records.pop()
        await network.kill(node.node)
        delay = await wait_until(
            _all_known_dead(fleet, [node.node]), limit_s=MAX_WAIT_S
        )
        result["death"] = _summarize_delays([delay])
    result["domain_loss"] = await _measure_domain_loss(fleet)
    await network.stop()
    return result


def _format_row(result: dict[str, Any]) -> str:
    rest, replacing = result["rest"], result["replacing"]
    lost = result["domain_loss"]
    cells = (
        result["size"],
        result["cold_start_s"],
        rest["bytes_s_node"],
        rest["http_bytes_s_node"],
        replacing["bytes_s_node"],
        replacing["busiest_node_10_s"],
        result["change"]["mean_s"],
        result["change"]["max_s"],
        result["death"]["mean_s"],
        result["death"]["max_s"],
        f"{lost['known_s']} ({lost['nodes']})",
        lost["busiest_node_10_s"],
        result["partition"]["rejoined_s"],
        result.get("long_partition", {}).get("rejoined_s", "-"),
    )
    return " ".join(f"{cell!s:>11}" for cell in cells)


_COLUMN_HEADS = (
    ("nodes", ""),
    ("cold start", "s"),
    ("rest", "B/s"),
    ("rest, HTTP", "B/s"),
    ("replacing", "B/s"),
    ("busiest", "B/s"),
    ("change", "mean s"),
    ("change", "max s"),
    ("death", "mean s"),
    ("death", "max s"),
    ("domain", "s (nodes)"),
    ("busiest", "B/s"),
    ("rejoin", "s"),
    ("long rejoin", "s"),
)


def main() -> None:
    """Measure each fleet size, print a table and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--out", type=Path, default=Path("out/membership_rates.json"))
    options = parser.parse_args()
    for line in zip(*_COLUMN_HEADS, strict=True):
        print(" ".join(f"{cell:>11}" for cell in line))
    results = []
    for size in options.sizes:
        started = time.monotonic()
        result = run_virtual(_measure_size(size, options.seed))
        result["run_s"] = round(time.monotonic() - started, 1)
        results.append(result)
        print(_format_row(result), flush=True)
    options.out.parent.mkdir(parents=True, exist_ok=True)
    document = {"seed": options.seed, "sizes": results}
    options.out.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    main()
