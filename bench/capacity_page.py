"""Write the tables of ``docs/CAPACITY.md`` from ``docs/capacity.json``.

``python -m bench.capacity_page`` rewrites the tables between the markers of the page.
``--take NAME FILE`` first copies the result file of another benchmark into the figures:
``membership`` from ``bench.membership_rates`` or ``hops`` from ``bench.hops``.
"""

import argparse
import re
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from bench.capacity_model import evaluate_fit, simulate_propagation
from bench.capacity_size import (
    ACCOUNTS,
    CHANGES_PER_DAY,
    NODES,
    REQUESTS_PER_S,
    RESTARTS_PER_DAY,
    ROUTES,
    TARGETS,
    load_results,
    save_results,
)
from bench.fleet import ROOT
from siskinlug.account_rates import MAX_ACCOUNTS
from siskinlug.attempts import MAX_FINISHED, RETENTION_S
from siskinlug.claim_state import MAX_ANSWER_CACHE_BYTES, MAX_KEYS_PER_PARTITION
from siskinlug.quarantine import MAX_SUSPICIONS
from siskinlug.timeline import MAX_TIMELINE_EVENTS

PAGE_PATH = ROOT / "docs" / "CAPACITY.md"
DAY_S = 86_400
REPLACEMENT_INTERVAL_S = 85
IN_FORCE_BUDGET_S = 3.0
ADDED_P99_BUDGET_MS = 2.4
CPU_BUDGET_PERCENT = 2.4
MEMORY_BUDGET_MB = 32.0
TRAFFIC_BUDGET_BYTES_PER_S = 8000.0
CAPACITY_COMMAND = "`python -m bench.capacity`"
MEMBERSHIP_COMMAND = "`python -m bench.membership_rates`"
HOPS_COMMAND = "`python -m bench.hops`"
# Pushes to every other node for each restart or replacement of a node: leaving, dead,
# joined and one for all its targets.
PUSHES_PER_RESTART = 4

Results = Mapping[str, Any]


def markdown_table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Format a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)


def two_year_row(results: Results) -> Mapping[str, float]:
    """Return the figures of one daemon at the two-year size."""
    rows = results["daemon"]["rows"]
    return next(row for row in rows if row["nodes"] == NODES)


def membership_rates_at(results: Results, nodes: int) -> Mapping[str, Any]:
    """Return the membership rates at a fleet size."""
    return next(s for s in results["membership"]["sizes"] if s["size"] == nodes)


def bytes_per_item(results: Results, kind: str) -> float:
    """Return the bytes that each further item of a kind of state takes."""
    return float(results["memory"][kind]["fit"]["slope"])


def cpu_parts(results: Results) -> list[tuple[str, float]]:
    """Return the parts of a node's CPU use for control, in percent of a core."""
    row = two_year_row(results)
    renewals = TARGETS / NODES * row["renewal_cpu_ms"] / 10
    return [
        ("at rest without targets: heartbeats and log", row["rest_alone_cpu_percent"]),
        ("renewals of its targets, one a second each", renewals),
        ("watch and ejection tasks of its targets", row["watch_cpu_percent"]),
        (
            f"{CHANGES_PER_DAY} changes of the tables a day",
            CHANGES_PER_DAY * row["change_cpu_ms"] / 1000 / DAY_S * 100,
        ),
        (
            f"{RESTARTS_PER_DAY} restarts a day, {PUSHES_PER_RESTART} pushes each",
            RESTARTS_PER_DAY
            * PUSHES_PER_RESTART
            * row["record_change_cpu_ms"]
            / 1000
            / DAY_S
            * 100,
        ),
    ]


def byte_parts(results: Results) -> list[tuple[str, float]]:
    """Return the parts of a node's control traffic, in bytes/s of both directions."""
    row = two_year_row(results)
    replacing = membership_rates_at(results, NODES)["replacing"]["bytes_s_node"]
    # Each node fetches the state once and therefore also serves it once on average.
    changes = (
        CHANGES_PER_DAY / DAY_S * (row["change_bytes"] + row["change_fetch_bytes"])
    )
    return [
        ("members, with a node replaced each 85 s, TCP headers estimated", replacing),
        ("reading the log", row["rest_log_bytes_s"]),
        (f"{CHANGES_PER_DAY} changes of the tables a day", changes),
        (
            "renewals of its targets (loopback of the VM)",
            row["rest_announce_bytes_s"],
        ),
    ]


def memory_parts(results: Results) -> list[tuple[str, float, str]]:
    """Return the parts of the memory beyond the libraries, in MB, and their bounds."""
    row, libraries = two_year_row(results), results["daemon"]["libraries_mb"]

    def size_mb(kind: str, count: float) -> float:
        return bytes_per_item(results, kind) * count / 1e6

    attempts = REQUESTS_PER_S / NODES * RETENTION_S
    return [
        (
            "measured: code, directory, tables, connections, after "
            "4 changes and 960 requests (which hold a part of the next lines)",
            row["rss_end_mb"] - libraries,
            "size of fleet and tables",
        ),
        (
            f"attempt records, {attempts:,.0f} in 600 s",
            size_mb("attempt", attempts),
            f"{MAX_FINISHED:,}, then the oldest are dropped and unknown attempts are "
            "no longer called not run",
        ),
        (
            f"account rates, {ACCOUNTS:,} at one entry",
            size_mb("account", ACCOUNTS),
            f"{MAX_ACCOUNTS:,}, then the oldest is forgotten and starts anew",
        ),
        (
            f"metrics and service times of {ROUTES:,} routes",
            size_mb("route_figures", ROUTES),
            "2,048 routes for service times",
        ),
        (
            f"load reports of {TARGETS:,} targets",
            size_mb("load_report", TARGETS),
            "targets in the directory",
        ),
        (
            "timeline, full",
            size_mb("event", MAX_TIMELINE_EVENTS),
            f"ring of {MAX_TIMELINE_EVENTS:,} events",
        ),
    ]


def cap_parts(results: Results) -> list[tuple[str, float, str]]:
    """Return the size in MB, at the cap, of state that is empty on an ordinary day."""
    return [
        (
            f"idempotency keys of one partition, {MAX_KEYS_PER_PARTITION:,}",
            bytes_per_item(results, "idempotency_key") * MAX_KEYS_PER_PARTITION / 1e6,
            "each partition; then new keys are refused as not run",
        ),
        (
            "answers kept for repeated keys",
            MAX_ANSWER_CACHE_BYTES / 1e6,
            "then the oldest is dropped",
        ),
        (
            f"suspicions of requests, {MAX_SUSPICIONS:,}",
            bytes_per_item(results, "suspicion") * MAX_SUSPICIONS / 1e6,
            "then the oldest that are not refused yet are dropped",
        ),
    ]


def _verdict(figure: float, budget: float) -> str:
    """Return whether a figure is within its budget, for the budget table."""
    if figure > budget:
        return "**missed**"
    return "holds" if figure < 0.9 * budget else "holds, within 10 %"


def budget_table(results: Results) -> str:
    """Format the table of budgets and the figures that meet or miss them."""
    row, daemon = two_year_row(results), results["daemon"]
    rates = membership_rates_at(results, NODES)
    cpu = sum(part for _, part in cpu_parts(results))
    sent = sum(part for _, part in byte_parts(results))
    network = sent - row["rest_announce_bytes_s"]
    memory = sum(part for _, part, _ in memory_parts(results))
    caps = memory + sum(part for _, part, _ in cap_parts(results))
    spread = simulate_propagation(NODES, hop_s=row["change_in_force_s"])
    slowest_ratio = max(
        fleet["measured"]["change_last_s"] / fleet["predicted"]["change_last_s"]
        for fleet in results["fleet"]
    )
    request_ms = row["entry_cpu_ms"] + row["owner_cpu_ms"]
    cpu_percent = REQUESTS_PER_S / NODES * request_ms / 10
    accounts_mb = bytes_per_item(results, "account") * ACCOUNTS / 1e6
    routes_mb = bytes_per_item(results, "route") * ROUTES / 1e6
    targets_mb = bytes_per_item(results, "target") * TARGETS / 1e6
    rows = [
        [
            f"{NODES} nodes",
            f"a started daemon holds the directory after {row['start_s']:.1f} s and "
            f"{row['start_bytes'] / 1e3:.0f} KB; the last of all nodes knows a change "
            f"after {rates['change']['mean_s']:.1f} s "
            f"(largest {rates['change']['max_s']:.1f} s)",
            "no budget of its own",
            f"{CAPACITY_COMMAND}, {MEMBERSHIP_COMMAND}",
        ],
        [
            f"{TARGETS:,} upstreams, 81 services",
            f"{targets_mb:.1f} MB of directory in each node; cap of 4,096 targets in "
            "the choice of an entry",
            "holds",
            CAPACITY_COMMAND,
        ],
        [
            f"{REQUESTS_PER_S:,} requests/s",
            f"{REQUESTS_PER_S / NODES:.0f} a node, {request_ms:.1f} ms of processor "
            f"time as entry and owner, {cpu_percent:.0f} % of a core; one core ends at "
            f"{1000 / request_ms:.0f} a second",
            "holds if each node has that share of a core and callers spread evenly",
            f"{CAPACITY_COMMAND}; calculated",
        ],
        [
            f"{ROUTES:,} routes",
            f"{routes_mb:.1f} MB for each version held, {row['fold_cpu_ms']:.0f} ms to "
            "read a changed table, during which the node answers nothing",
            "memory holds; the pause is a fault, see Configuration reader",
            CAPACITY_COMMAND,
        ],
        [
            f"{ACCOUNTS:,} accounts",
            f"{accounts_mb:.1f} MB at an entry that sees them all",
            "holds",
            CAPACITY_COMMAND,
        ],
        [
            f"{CHANGES_PER_DAY} changes a day, in force within {IN_FORCE_BUDGET_S:g} s",
            f"last of {NODES} nodes after {spread['mean_s']:.1f} s "
            f"(largest of 60 runs {spread['max_s']:.1f} s) in the model. Real fleets "
            f"of up to {results['fleet'][-1]['nodes']} nodes that share one busy "
            f"machine took up to {slowest_ratio:.1f} times as long as the model says",
            f"mean {_verdict(spread['mean_s'], IN_FORCE_BUDGET_S)}, largest run "
            f"{_verdict(spread['max_s'], IN_FORCE_BUDGET_S)} in the model; not shown "
            "by real daemons",
            f"{CAPACITY_COMMAND}, `python -m bench.capacity_fleet`; calculated by "
            "`bench/capacity_model.py`",
        ],
        [
            "2 regions, 5 failure domains",
            f"directories agree {rates['partition']['rejoined_s']:.1f} s after a "
            "partition of 60 s; an hour is not measured at this size",
            "no budget of its own",
            MEMBERSHIP_COMMAND,
        ],
        [
            f"{ADDED_P99_BUDGET_MS} ms added at p99",
            _added_p99_text(results),
            _verdict(_added_p99_ms(results), ADDED_P99_BUDGET_MS)
            + " with two nodes and one target",
            HOPS_COMMAND,
        ],
        [
            f"control processor time {CPU_BUDGET_PERCENT} % of a core",
            f"{cpu:.2f} %",
            _verdict(cpu, CPU_BUDGET_PERCENT),
            CAPACITY_COMMAND,
        ],
        [
            f"control memory {MEMORY_BUDGET_MB:.0f} MB",
            f"{memory:.1f} MB beyond the libraries, {caps:.1f} MB with every cap "
            f"reached; whole process {memory + daemon['libraries_mb']:.1f} MB and "
            f"{caps + daemon['libraries_mb']:.1f} MB, of which the libraries alone "
            f"{daemon['libraries_mb']:.1f} MB",
            f"{_verdict(memory, MEMORY_BUDGET_MB)}; at the caps "
            f"{_verdict(caps, MEMORY_BUDGET_MB)}",
            f"{CAPACITY_COMMAND}; sum of measured slopes",
        ],
        [
            "control traffic 8 KB/s",
            f"{sent / 1000:.1f} KB/s on average, {network / 1000:.1f} KB/s of it on "
            "the network; busiest node in 10 s "
            f"{rates['replacing']['busiest_node_10_s'] / 1000:.0f} KB/s",
            f"average {_verdict(sent, TRAFFIC_BUDGET_BYTES_PER_S)}; "
            "the peak is above it",
            f"{CAPACITY_COMMAND}, {MEMBERSHIP_COMMAND}",
        ],
        [
            f"22 VM failures, {RESTARTS_PER_DAY:,} restarts a day",
            f"{rates['replacing']['bytes_s_node']:.0f} B/s between members with a node "
            f"replaced each 85 s; a death is known everywhere after "
            f"{rates['death']['mean_s']:.1f} s (largest {rates['death']['max_s']:.1f})",
            "holds",
            MEMBERSHIP_COMMAND,
        ],
    ]
    return markdown_table(["budget", "figure", "verdict", "command"], rows)


def _added_p99_ms(results: Results) -> float:
    """Return how much two hops add to the p99 latency, in ms."""
    paths = results["hops"]["paths"]
    two_hops, direct = (
        paths[p]["paced"]["latency_ms"]["p99"] for p in ("two hops", "direct")
    )
    return float(two_hops - direct)


def _added_p99_text(results: Results) -> str:
    """Describe the p99 latency of one and two hops, for the budget table."""
    paths = results["hops"]["paths"]
    p99 = {path: paths[path]["paced"]["latency_ms"]["p99"] for path in paths}
    return (
        f"{_added_p99_ms(results):.2f} ms over two hops, "
        f"{p99['one hop'] - p99['direct']:.2f} ms over one; straight to the target "
        f"{p99['direct']:.2f} ms in the same run, which shows how busy the machine was"
    )


def cpu_table(results: Results) -> str:
    """Format the parts of the CPU use for control."""
    parts = cpu_parts(results)
    rows = [[name, f"{value:.2f}"] for name, value in parts]
    rows.append(["**sum**", f"**{sum(v for _, v in parts):.2f}**"])
    return markdown_table(["part", "% of a core"], rows)


def bytes_table(results: Results) -> str:
    """Format the parts of control traffic."""
    parts = byte_parts(results)
    rows = [[name, f"{value:,.0f}"] for name, value in parts]
    rows.append(["**sum**", f"**{sum(v for _, v in parts):,.0f}**"])
    return markdown_table(["part", "bytes/s, sent and received"], rows)


def memory_table(results: Results) -> str:
    """Format the parts of memory and their bounds."""
    libraries = results["daemon"]["libraries_mb"]
    parts, caps = memory_parts(results), cap_parts(results)
    ordinary_mb = sum(value for _, value, _ in parts)
    rows = [["prescribed libraries alone", f"{libraries:.1f}", "does not grow"]]
    rows += [[name, f"{value:.1f}", bound] for name, value, bound in parts]
    rows.append(["**sum beyond the libraries**", f"**{ordinary_mb:.1f}**", ""])
    rows += [[name, f"{value:.1f}", bound] for name, value, bound in caps]
    worst_mb = ordinary_mb + sum(value for _, value, _ in caps)
    rows.append(["**sum with every cap reached**", f"**{worst_mb:.1f}**", ""])
    return markdown_table(["what", "MB", "bound and what happens there"], rows)


def slopes_table(results: Results) -> str:
    """Format the bytes of each kind of state."""
    rows = [
        [
            kind.replace("_", " "),
            f"{held['fit']['slope']:,.0f}",
            f"{held['points'][-1][0]:,}",
            f"{100 * held['fit']['residual']:.1f}",
        ]
        for kind, held in results["memory"].items()
    ]
    return markdown_table(["kind", "bytes each", "measured up to", "residual, %"], rows)


_DAEMON_FIGURES = (
    ("rss_start_mb", "resident after the start, MB", 1),
    ("rss_end_mb", "resident at the end, MB", 1),
    ("heartbeat_cpu_ms", "processor time of a heartbeat, ms", 2),
    ("renewal_cpu_ms", "of a renewal, ms", 2),
    ("record_change_cpu_ms", "of a pushed member record, ms", 2),
    ("change_cpu_ms", "of a change of the tables, ms", 0),
    ("fold_cpu_ms", "of reading and folding both tables, ms", 0),
    ("entry_cpu_ms", "of a request as entry, ms", 2),
    ("owner_cpu_ms", "of a request as owner, ms", 2),
    ("rest_alone_cpu_percent", "at rest without targets, % of a core", 2),
    ("watch_cpu_percent", "watch and ejection of 8 targets, % of a core", 2),
    ("rest_cpu_percent", "at rest with 8 targets, % of a core", 2),
    ("rest_peer_bytes_s", "HTTP between nodes at rest, bytes/s", 0),
    ("rest_announce_bytes_s", "HTTP with 8 targets, bytes/s", 0),
    ("rest_log_bytes_s", "reading the log, bytes/s", 0),
    ("record_change_bytes", "a pushed member record, in and out, bytes", 0),
    ("change_bytes", "a change of the tables, bytes", 0),
    ("change_in_force_s", "told of a change to in force, s", 2),
    ("start_s", "start with the log, s", 2),
    ("start_cpu_s", "start with the log, processor time, s", 2),
    ("start_bytes", "start with the log, bytes", 0),
    ("start_without_log_s", "start without the log, s", 2),
    ("start_without_log_bytes", "start without the log, bytes", 0),
)


def daemon_table(results: Results) -> str:
    """Format the figures of one daemon at each size."""
    rows, fits = results["daemon"]["rows"], results["daemon"]["fits"]
    head = ["figure", *(f"{row['nodes']} nodes" for row in rows), "residual, %"]
    lines = []
    for name, text, digits in _DAEMON_FIGURES:
        residual = f"{100 * fits[name]['residual']:.0f}" if name in fits else ""
        cells = [f"{row[name]:,.{digits}f}" for row in rows]
        lines.append([text, *cells, residual])
    return markdown_table(head, lines)


def fleet_table(results: Results) -> str:
    """Format measured and predicted figures of small fleets."""
    names = {
        "rest_cpu_percent": ("processor time at rest, % of a core", 2),
        "rest_peer_bytes_s": ("HTTP between nodes at rest, bytes/s", 0),
        "resident_mb": ("resident after 3 versions of the routes, MB", 1),
        "change_cpu_ms": ("processor time of a change at each node, ms", 0),
        "change_first_s": ("a change in force at the first node, s", 2),
        "change_half_s": ("a change in force at half of the nodes, s", 2),
        "change_last_s": ("a change in force at the last node, s", 2),
    }
    rows = []
    for fleet in results["fleet"]:
        for name, (text, digits) in names.items():
            rows.append(
                [
                    f"{fleet['nodes']} (load average {fleet['load_average']:.0f})",
                    text,
                    f"{fleet['measured'][name]:,.{digits}f}",
                    f"{fleet['predicted'][name]:,.{digits}f}",
                    f"{100 * fleet['error'][name]:+.0f}",
                ]
            )
        cores = (
            fleet["nodes"]
            * fleet["measured"]["change_cpu_ms"]
            / 1000
            / fleet["measured"]["change_last_s"]
        )
        rows.append(
            [
                f"{fleet['nodes']}",
                "cores that the fleet used until the last node had the change",
                f"{cores:.1f}",
                "",
                "",
            ]
        )
    return markdown_table(
        ["nodes", "figure", "measured", "predicted", "error, %"], rows
    )


def membership_table(results: Results) -> str:
    """Format the membership rates at each size."""
    rows = []
    for size in results["membership"]["sizes"]:
        loss, partition = size["domain_loss"], size["partition"]
        long_partition = size.get("long_partition")
        rows.append(
            [
                str(size["size"]),
                f"{size['replacing']['bytes_s_node']:,}",
                f"{size['replacing']['busiest_node_10_s']:,}",
                f"{size['change']['mean_s']} / {size['change']['max_s']}",
                f"{size['death']['mean_s']} / {size['death']['max_s']}",
                f"{loss['known_s']} ({loss['nodes']})",
                f"{loss['bytes_s_node_20_s']:,} / {loss['busiest_node_10_s']:,}",
                str(loss["wrongly_dead"]),
                f"{partition['rejoined_s']}",
                f"{partition['bytes_s_node_60_s']:,} / "
                f"{partition['busiest_node_10_s']:,}",
                f"{long_partition['rejoined_s']}" if long_partition else "not measured",
            ]
        )
    head = [
        "nodes",
        "B/s, a node replaced each 85 s",
        "busiest node in 10 s, B/s",
        "change known to all, mean / largest s",
        "death, mean / largest s",
        "domain lost, s (nodes)",
        "mean of 20 s / busiest, B/s",
        "wrongly dead",
        "60 s partition, rejoin s",
        "mean of 60 s / busiest, B/s",
        "660 s partition, rejoin s",
    ]
    return markdown_table(head, rows)


def spread_table(results: Results) -> str:
    """Format the simulated propagation of a change at the two-year size."""
    row = two_year_row(results)
    in_force_s = row["change_in_force_s"]
    rows = []
    for name, hop_s in (
        ("measured", in_force_s),
        ("if reading the table took a quarter of it", in_force_s / 4),
        ("if pushes went out before the table is read", None),
    ):
        if hop_s is None:
            pushed = simulate_propagation(NODES, hop_s=0.02)
            spread = {key: value + in_force_s for key, value in pushed.items()}
            shown = "0.02, then the reading once"
        else:
            spread = simulate_propagation(NODES, hop_s=hop_s)
            shown = f"{hop_s:.2f}"
        rows.append(
            [
                name,
                shown,
                f"{spread['half_s']:.2f}",
                f"{spread['mean_s']:.2f}",
                f"{spread['max_s']:.2f}",
            ]
        )
    head = ["case", "told to in force, s", "half of the nodes, s", "last node, s"]
    return markdown_table([*head, "last node, largest of 60 runs, s"], rows)


def replacement_bytes(results: Results) -> float:
    """Return the traffic of each other node for one node replacement, in bytes."""
    row, replacing = (
        two_year_row(results),
        membership_rates_at(results, NODES)["replacing"],
    )
    rest = row["rest_peer_bytes_s"] + row["rest_tcp_bytes_s"]
    return float((replacing["bytes_s_node"] - rest) * REPLACEMENT_INTERVAL_S)


def events_table(results: Results) -> str:
    """Format peak traffic, settling time and the effect on callers by event."""
    row, rates = two_year_row(results), membership_rates_at(results, NODES)
    rates_86 = membership_rates_at(results, 86)
    rest = row["rest_peer_bytes_s"] + row["rest_tcp_bytes_s"]
    bytes_per_replacement = replacement_bytes(results)
    hourly_bytes_s = rest + bytes_per_replacement * RESTARTS_PER_DAY / 3600
    pushes_per_s = RESTARTS_PER_DAY / 3600 * PUSHES_PER_RESTART
    hourly_cpu = pushes_per_s * row["record_change_cpu_ms"] / 10
    loss, partition = rates["domain_loss"], rates["partition"]
    rows = [
        [
            "a node replaced every 85 s",
            f"{rates['replacing']['bytes_s_node']:,} B/s on average, busiest node in "
            f"10 s {rates['replacing']['busiest_node_10_s']:,} B/s",
            f"{rates['change']['mean_s']} s mean, {rates['change']['max_s']} s largest",
            "planned: nothing. Unplanned: its callers lose their connections; requests "
            "at its targets are refused as not run, or may have run, until the "
            "targets announce elsewhere after the lease of 3 s",
            "members: measured at 430 in virtual time; callers: small fleets only",
        ],
        [
            "1,000 restarts in a day",
            "as above",
            "as above",
            "as above",
            "the same measurement, which replaces nodes at that rate",
        ],
        [
            "1,000 restarts within an hour",
            f"{hourly_bytes_s:,.0f} B/s between members on average; {hourly_cpu:.2f} % "
            "of a core more",
            "each change as above; a change follows each 3.6 s",
            "as above, 24 times as often",
            "calculated from the cost of one replacement",
        ],
        [
            "a rack of 20 VMs gone (5 % of the nodes)",
            f"between one death and the loss of {loss['nodes']} nodes "
            f"({loss['busiest_node_10_s']:,} B/s busiest)",
            f"{rates['death']['mean_s']} s to {loss['known_s']} s",
            "of the requests that enter at these nodes all are lost; of the others, "
            "those sent to their targets (5 %) end as not run and are tried elsewhere, "
            "or as may have run",
            f"not measured at 20; bounded by two measurements (16 of 86 nodes: "
            f"{rates_86['domain_loss']['known_s']} s)",
        ],
        [
            f"a failure domain ({loss['nodes']} nodes, about 700 targets) gone at once",
            f"{loss['bytes_s_node_20_s']:,} B/s over 20 s, busiest node in 10 s "
            f"{loss['busiest_node_10_s']:,} B/s",
            f"{loss['known_s']} s until all deaths are known; "
            f"{loss['wrongly_dead']} running nodes held for dead",
            "as for a rack, with a fifth of the requests; capacity is a fifth lower, "
            "so pools above 80 % load refuse the excess as not run",
            "members: measured at 430 in virtual time; callers: not known at this size",
        ],
        [
            "the domain back",
            f"each returning node fetches {row['start_bytes'] / 1e3:.0f} KB; the "
            f"{loss['nodes']} together "
            f"{row['start_bytes'] * loss['nodes'] / 1e6:.0f} MB from their seeds",
            f"{row['start_s']:.1f} s for one node",
            "nothing beyond a cold start of the targets",
            "calculated; seeds named by many settings carry the fetches of all and "
            "are not measured",
        ],
        [
            "regions apart for an hour",
            "no more than at rest, and a try of a lost node each 10 s by each node",
            f"deaths as for a domain; agreement {partition['rejoined_s']} s after the "
            f"end of a 60 s partition, with {partition['bytes_s_node_60_s']:,} B/s "
            f"over 60 s and {partition['busiest_node_10_s']:,} B/s at the busiest node",
            "each side serves with its own targets; the side without the log keeps its "
            "tables and refuses keyed requests unless the route says `memory`",
            "60 s at 430 and 660 s at 86 nodes measured; an hour at 430 not known",
        ],
        [
            "the log away for hours",
            "no more; each node tries it at its usual interval",
            f"a node that starts has all from a peer after "
            f"{row['start_without_log_s']:.1f} s and "
            f"{row['start_without_log_bytes'] / 1e3:.0f} KB",
            "requests without a key: nothing. Keyed requests are refused as not run. "
            "Publishing fails with that outcome",
            "start without the log measured; hours are not measured, nothing in the "
            "code grows with them",
        ],
        [
            "a crest in one service",
            "none: load reports travel on answers, and evidence of overload ejects "
            "nothing",
            "goal of 2 s after the crest",
            "up to slots and queue served; the rest refused as not run within "
            "`queue_wait_s`",
            "control traffic from the code; service measured at small size by "
            "`python -m bench.measures`, not at this size",
        ],
    ]
    return markdown_table(
        ["event", "peak control traffic of a node", "settled", "callers see", "basis"],
        rows,
    )


def log_table(results: Results) -> str:
    """Format the rates and sizes of the streams in the log service."""
    row = two_year_row(results)
    text = evaluate_fit(results["daemon"]["fits"]["text_bytes"], ROUTES)
    rows = [
        [
            "`configuration`, appends",
            f"{CHANGES_PER_DAY} changes and 144 snapshots a day",
            f"about {text / 1e3:.0f} KB each",
        ],
        [
            "`configuration`, reads",
            "50 a second, whatever the number of nodes",
            f"{row['rest_log_bytes_s'] * NODES / 1e3:.0f} KB/s for the fleet at rest",
        ],
        [
            "`claims-NN`, appends",
            "at most 4 a second for each of 64 streams, 256 in all",
            "up to 256 entries of about 100 bytes each (calculated)",
        ],
        ["`members`", "not written by the daemon today", ""],
    ]
    return markdown_table(["stream", "rate", "size"], rows)


TABLE_BY_NAME: dict[str, Callable[[Results], str]] = {
    "budgets": budget_table,
    "cpu": cpu_table,
    "bytes": bytes_table,
    "memory": memory_table,
    "slopes": slopes_table,
    "daemon": daemon_table,
    "fleet": fleet_table,
    "membership": membership_table,
    "spread": spread_table,
    "events": events_table,
    "log": log_table,
}


def render_tables(page: str, results: Results) -> str:
    """Return the page with its tables replaced by those of the results.

    Args:
        page: Text of the page, with a pair of markers for each table.
        results: Recorded figures.
    """

    def replace_table(match: re.Match[str]) -> str:
        name = match["name"]
        text = TABLE_BY_NAME[name](results)
        return f"<!-- table {name} -->\n{text}\n<!-- end {name} -->"

    return re.sub(
        r"<!-- table (?P<name>\w+) -->\n.*?<!-- end (?P=name) -->",
        replace_table,
        page,
        flags=re.DOTALL,
    )


def main() -> None:
    """Copy result files into the figures, if any, and rewrite the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--take", nargs=2, action="append", metavar=("NAME", "FILE"))
    for name, file in parser.parse_args().take or ():
        save_results(name, load_results(Path(file)))
    PAGE_PATH.write_text(
        render_tables(PAGE_PATH.read_text("utf-8"), load_results()), "utf-8"
    )


if __name__ == "__main__":
    main()
