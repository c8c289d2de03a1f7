"""Predictions from the slopes of one daemon: rest, memory and spread of a change."""

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
    """Return the value of a fit at a count."""
    return line["base"] + line["slope"] * count


def poll_interval_s(nodes: int) -> float:
    """Return the mean time between two reads of the log by one node."""
    return max(POLL_MIN_S, nodes / FLEET_READS_PER_S)


def predict_idle_cpu_percent(results: dict[str, Any], nodes: int) -> float:
    """Return the processor time at rest of a node without targets."""
    reads_s = 1 / poll_interval_s(nodes)
    return evaluate_fit(results["daemon"]["fits"]["rest_alone_cpu_percent"], reads_s)


def predict_idle_bytes_per_s(results: dict[str, Any], nodes: int) -> float:
    """Return HTTP bytes/s between nodes at rest, both directions of one node."""
    return evaluate_fit(results["daemon"]["fits"]["rest_peer_bytes_s"], nodes)


def predict_resident_mb(
    results: dict[str, Any], *, nodes: int, targets: int, routes: int
) -> float:
    """Return resident memory after some changes of the tables.

    The daemon's slope is along all counts at once; the parts of nodes and targets
    are those of the memory measurement, and the rest belongs to the tables.
    """
    line = results["daemon"]["fits"]["rss_changed_mb"]
    node_mb = results["memory"]["node"]["fit"]["slope"] / 1e6
    target_mb = results["memory"]["target"]["fit"]["slope"] / 1e6
    whole = line["slope"] * NODES
    tables = whole - NODES * node_mb - TARGETS * target_mb
    return (
        line["base"] + nodes * node_mb + targets * target_mb + tables * routes / ROUTES
    )


def simulate_propagation(
    nodes: int, *, hop_s: float, runs: int = SIMULATION_RUNS
) -> dict[str, float]:
    """Simulate a change from its append until it is in force at all nodes.

    A node reads the log at its interval, and ``hop_s`` after it learns of the change
    it has it in force, pushes it to random peers and tells it on heartbeats.

    Args:
        nodes: Nodes in the fleet.
        hop_s: Time from being told to being in force, in seconds.
        runs: Runs with different random choices.

    Returns:
        Mean and largest time until the last node, and mean times until the first and
        until half of the nodes, in seconds.
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
    interval = poll_interval_s(nodes)
    learned = [math.inf] * nodes
    # Time, kind, node: a poll, a node told, a node in force, a heartbeat.
    events: list[tuple[float, str, int]] = []
    for node in range(nodes):
        heapq.heappush(events, (random.random() * interval, "told", node))
        heapq.heappush(events, (random.random() * PING_INTERVAL_S, "ping", node))
    done: list[float] = []
    in_force = [False] * nodes
    while len(done) < nodes:
        now, kind, node = heapq.heappop(events)
        if kind == "told":
            if learned[node] == math.inf:
                learned[node] = now
                heapq.heappush(events, (now + hop_s, "in force", node))
        elif kind == "in force":
            in_force[node] = True
            done.append(now)
            for peer in random.sample(range(nodes), min(PUSH_FANOUT, nodes)):
                heapq.heappush(events, (now, "told", peer))
        else:
            peer = random.randrange(nodes)
            if in_force[node] != in_force[peer]:
                told = peer if in_force[node] else node
                heapq.heappush(events, (now, "told", told))
            heapq.heappush(events, (now + PING_INTERVAL_S, "ping", node))
    return done
