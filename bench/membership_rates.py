"""Bytes and delays of membership at several fleet sizes, in virtual time.

``python -m bench.membership_rates`` prints a table and writes
``out/membership_rates.json``. The members run as they do in a daemon; only the
network between them is replaced, so delays leave out processor time. Bytes are sent
and received together: whole HTTP messages with their heads, and an estimate of the
TCP and IP headers of one connection for each call.
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
TARGETS = 8
REST_S = 60.0
# The records of a cold start are still repeated for some time after it.
SETTLE_S = 60.0
# 1,000 VMs are replaced on an ordinary day.
REPLACE_S = 85.0
REPLACEMENTS = 2
SAMPLE_S = 10.0
CHANGES = 8
DEATHS = 4
LIMIT_S = 120.0
# Longer than dead nodes are kept, so that the regions forget each other.
PARTITION_S = 660.0
PARTITION_SIZES = (8, 24, 86)


class _Fleet:
    """A running fleet that counts its own bytes."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = Random(seed)
        self.network = FakeNetwork(random=self.random)
        self.records = [
            make_node_record(number, domains=DOMAINS, targets=TARGETS)
            for number in range(size)
        ]
        self.next_number = size
        self.seeds: list[Address] = [(r.host, r.peer_port) for r in self.records[:3]]

    async def start(self) -> float | None:
        for record in self.records:
            self.network.start(record, seeds=self.seeds)
        waited = await wait_until(self.network.converged, limit_s=LIMIT_S)
        await asyncio.sleep(SETTLE_S)
        return waited

    async def replace_one(self) -> None:
        """Let one node leave and start another with another name and address."""
        old = self.records.pop(self.random.randrange(3, len(self.records)))
        membership = self.network.node_by_name[old.node].membership
        announce_leaving(membership)
        await asyncio.sleep(2)
        await depart(membership)
        await self.network.kill(old.node)
        await asyncio.sleep(5)
        record = make_node_record(self.next_number, domains=DOMAINS, targets=TARGETS)
        self.next_number += 1
        self.records.append(record)
        started = self.network.start(record._replace(targets=()), seeds=self.seeds)
        targets: tuple[TargetRecord, ...] = ()
        for target in record.targets:
            await asyncio.sleep(0.1)
            targets = (*targets, target)
            change_own(started, targets=targets)


async def _rates(fleet: _Fleet, seconds: float) -> dict[str, Any]:
    """Measure bytes a second and node over some seconds."""
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
            # A node that starts fetches the directory, which is no steady load.
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


def _summary(delays: list[float | None]) -> dict[str, float | None]:
    known = [delay for delay in delays if delay is not None]
    if len(known) < len(delays):
        return {"mean_s": None, "max_s": None}
    return {"mean_s": round(sum(known) / len(known), 2), "max_s": round(max(known), 2)}


async def _change_delays(fleet: _Fleet) -> dict[str, float | None]:
    delays = []
    for number in range(CHANGES):
        node = fleet.random.choice(fleet.records).node
        membership = fleet.network.node_by_name[node].membership
        targets = membership.directory.own.targets
        change_own(membership, targets=(targets[0]._replace(epoch=number + 2),))
        version = membership.directory.own.version

        def known(node: str = node, version: int = version) -> bool:
            return all(
                other.membership.directory.record_by_node[node].version >= version
                for other in fleet.network.node_by_name.values()
            )

        delays.append(await wait_until(known, limit_s=LIMIT_S))
        await asyncio.sleep(5)
    return _summary(delays)


def _all_dead(fleet: _Fleet, nodes: list[str]) -> Callable[[], bool]:
    def known() -> bool:
        return all(
            fleet.network.count_states(node).keys() <= {"dead", "unknown"}
            for node in nodes
        )

    return known


async def _death_delays(fleet: _Fleet) -> dict[str, float | None]:
    delays = []
    for _ in range(DEATHS):
        node = fleet.records.pop(fleet.random.randrange(3, len(fleet.records))).node
        await fleet.network.kill(node)
        delays.append(await wait_until(_all_dead(fleet, [node]), limit_s=LIMIT_S))
        await asyncio.sleep(5)
    return _summary(delays)


async def _domain_loss(fleet: _Fleet) -> dict[str, Any]:
    """End a fifth of the nodes at once."""
    lost = [r for r in fleet.records if r.failure_domain == "domain-1"]
    fleet.records = [r for r in fleet.records if r not in lost]
    for record in lost:
        await fleet.network.kill(record.node)
    rates = asyncio.create_task(_rates(fleet, 20))
    delay = await wait_until(
        _all_dead(fleet, [record.node for record in lost]), limit_s=LIMIT_S
    )
    measured = await rates
    return {
        "nodes": len(lost),
        "known_s": None if delay is None else round(delay, 2),
        "bytes_s_node_20_s": measured["bytes_s_node"],
        "busiest_node_10_s": measured["busiest_node_10_s"],
        "by_kind": measured["by_kind"],
        "wrongly_dead": _wrongly_dead(fleet),
    }


def _wrongly_dead(fleet: _Fleet) -> int:
    """Count the views in which a running node is dead."""
    return sum(fleet.network.count_states(r.node)["dead"] for r in fleet.records)


async def _partition(fleet: _Fleet, seconds: float) -> dict[str, Any]:
    """Cut the regions apart, join them again and measure the rejoin."""
    region = {record.node: record.region for record in fleet.records}
    fleet.network.is_link_cut = lambda sender, receiver: (
        region[sender] != region[receiver]
    )
    await asyncio.sleep(seconds)
    fleet.network.is_link_cut = lambda sender, receiver: False
    rates = asyncio.create_task(_rates(fleet, 60))
    delay = await wait_until(fleet.network.converged, limit_s=LIMIT_S)
    measured = await rates
    return {
        "partition_s": seconds,
        "rejoined_s": None if delay is None else round(delay, 2),
        "bytes_s_node_60_s": measured["bytes_s_node"],
        "busiest_node_10_s": measured["busiest_node_10_s"],
    }


async def _measure(size: int, seed: int) -> dict[str, Any]:
    fleet = _Fleet(size, seed)
    network = fleet.network
    cold = await fleet.start()
    result: dict[str, Any] = {
        "size": size,
        "cold_start_s": None if cold is None else round(cold, 2),
        "rest": await _rates(fleet, REST_S),
    }

    async def replace_nodes() -> None:
        for _ in range(REPLACEMENTS):
            await fleet.replace_one()
            await asyncio.sleep(REPLACE_S - 7.8)

    replacing = asyncio.create_task(replace_nodes())
    result["replacing"] = await _rates(fleet, REPLACEMENTS * REPLACE_S)
    await replacing
    result["change"] = await _change_delays(fleet)
    calls: Counter[str] = Counter(network.calls_by_path)
    result["partition"] = await _partition(fleet, 60)
    if size in PARTITION_SIZES:
        result["long_partition"] = await _partition(fleet, PARTITION_S)
    result["calls_in_partitions"] = dict(network.calls_by_path - calls)
    # After the deaths too few nodes would be left at the smallest size.
    if size > DEATHS + 4:
        result["death"] = await _death_delays(fleet)
    else:
        node: NodeRecord = fleet.records.pop()
        await network.kill(node.node)
        delay = await wait_until(_all_dead(fleet, [node.node]), limit_s=LIMIT_S)
        result["death"] = _summary([delay])
    result["domain_loss"] = await _domain_loss(fleet)
    await network.stop()
    return result


def _row(result: dict[str, Any]) -> str:
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


_HEAD = (
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
    """Measure, print the table and write the file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--out", type=Path, default=Path("out/membership_rates.json"))
    options = parser.parse_args()
    for line in zip(*_HEAD, strict=True):
        print(" ".join(f"{cell:>11}" for cell in line))
    results = []
    for size in options.sizes:
        started = time.monotonic()
        result = run_virtual(_measure(size, options.seed))
        result["run_s"] = round(time.monotonic() - started, 1)
        results.append(result)
        print(_row(result), flush=True)
    options.out.parent.mkdir(parents=True, exist_ok=True)
    document = {"seed": options.seed, "sizes": results}
    options.out.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    main()
