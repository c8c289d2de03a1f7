"""Predict idle load, memory and propagation of changes from one daemon's figures."""

import heapq
import math
from random import Random
from statistics import fmean
from typing import Any

from bench.capacity_size import NODES, ROUTES, TARGETS
from siskinlug.config_sync import FLEET_READS_PER_S, POLL_MIN_S
from siskinlug.membership import PING_INTERVAL_S, PUSH_FANOUT

SIMULATION_RUNS = 60
SEED = 3


def evaluate_fit(line: dict[str, float], count: float) -> float:
    """Return the value of a fitted line at a count."""
    return line["base"] + line["slope"] * count


def poll_interval_s(nodes: int) -> float:
    """Return the interval in seconds at which each node reads the log."""
    return max(POLL_MIN_S, nodes / FLEET_READS_PER_S)


def predict_idle_cpu_percent(results: dict[str, Any], nodes: int) -> float:
    """Return the CPU use of an idle node without targets, in percent of a core."""
    reads_s = 1 / poll_interval_s(nodes)
    return evaluate_fit(results["daemon"]["fits"]["rest_alone_cpu_percent"], reads_s)


def predict_idle_bytes_per_s(results: dict[str, Any], nodes: int) -> float:
    """Return the HTTP bytes/s that an idle node exchanges with other nodes."""
    return evaluate_fit(results["daemon"]["fits"]["rest_peer_bytes_s"], nodes)


def predict_resident_mb(
    results: dict[str, Any], *, nodes: int, targets: int, routes: int
) -> float:
    """Return the resident memory in MB after some changes of the tables.

    The slope measured on a daemon covers all counts, because they grow together. The
    shares of nodes and targets are taken from the memory measurement, and the remainder
    is attributed to the tables.
    """
    line = results["daemon"]["fits"]["rss_changed_mb"]
    node_mb = results["memory"]["node"]["fit"]["slope"] / 1e6
    target_mb = results["memory"]["target"]["fit"]["slope"] / 1e6
    total_mb = line["slope"] * NODES
    tables_mb = total_mb - NODES * node_mb - TARGETS * target_mb
    return (
        line["base"]
        + nodes * node_mb
        + targets * target_mb
        + tables_mb * routes / ROUTES
    )


def simulate_propagation(
    nodes: int, *, hop_s: float, runs: int = SIMULATION_RUNS
) -> dict[str, float]:
    """Simulate a change from its append to the log until it is in force at all nodes.

    A node learns of the change from its periodic read of the log, a push or a
    heartbeat. ``hop_s`` later it has the change in force, pushes it to random peers and
    announces it on heartbeats.

    Args:
        nodes: Number of nodes in the fleet.
        hop_s: Time in seconds from learning of the change to having it in force.
        runs: Number of runs with different random choices.

    Returns:
        Mean and maximum time until the last node, and mean times until the first node
        and until half of the nodes, in seconds.
    """
    random = Random(SEED)
    firsts, halves, lasts = [], [], []
    for _ in range(runs):
        times = sorted(_simulate_run(nodes, hop_s, random))
        firsts.append(times[0])
        lasts.append(times[-1])
        halves.append(times[len(times) // 2])
    return {
        "mean_s": fmean(lasts),
        "max_s": max(lasts),
        "first_s": fmean(firsts),
        "half_s": fmean(halves),
    }


def _simulate_run(nodes: int, hop_s: float, random: Random) -> list[float]:
    """Return the times at which the nodes have the change in force, in order."""
    interval = poll_interval_s(nodes)
    learned = [math.inf] * nodes
    # Heap of time, kind and node. The first read of the log counts as "told".
    events: list[tuple[float, str, int]] = []
    for node in range(nodes):
        heapq.heappush(events, (random.random() * interval, "told", node))
        heapq.heappush(events, (random.random() * PING_INTERVAL_S, "ping", node))
    times_in_force: list[float] = []
    in_force = [False] * nodes
    while len(times_in_force) < nodes:
        now, kind, node = heapq.heappop(events)
        if kind == "told":
            if learned[node] == math.inf:
                learned[node] = now
                heapq.heappush(events, (now + hop_s, "in force", node))
        elif kind == "in force":
            in_force[node] = True
            times_in_force.append(now)
            for peer in random.sample(range(nodes), min(PUSH_FANOUT, nodes)):
                heapq.heappush(events, (now, "told", peer))
        else:
            peer = random.randrange(nodes)
            if in_force[node] != in_force[peer]:
                told = peer if in_force[node] else node
                heapq.heappush(events, (now, "told", told))
            heapq.heappush(events, (now + PING_INTERVAL_S, "ping", node))
    return times_in_force
