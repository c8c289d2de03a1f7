"""Measures of the design page, each compared with its baselines.

``python -m bench.measures [--seed N] [MEASURE ...]`` prints one table and writes JSON
and plots to ``out/``.
"""

import argparse
import json
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from itertools import pairwise
from pathlib import Path
from random import Random
from typing import NamedTuple

from bench import detection
from bench.baselines import BASELINES
from bench.replay import SISKINLUG, FinishedRequest, Policy, Replay, quantile, replay
from bench.trace import Arrival, Fleet, Trace

OUT = Path("out")
DEFAULT_SEED = 20261204
WORKERS = 4
# Lognormal service times, whose p99 is 4.6 times the mean.
SERVICE_MEDIAN_S = 0.015
SERVICE_SIGMA = 0.8
LONG_WORK_FACTOR = 100.0
SERVICE_MEAN_S = SERVICE_MEDIAN_S * 2.718281828 ** (SERVICE_SIGMA**2 / 2)
FLEETS: Mapping[str, Fleet] = {
    # Service bookings: 8 targets of 6 slots in four failure domains.
    "robe-hire": Fleet(targets=8, slots=6, domains=4, client_s=0.001),
    # Service narudzbe: 12 targets of 4 slots in three failure domains.
    "scriptorium": Fleet(targets=12, slots=4, domains=3, client_s=0.003),
}
POLICIES = (SISKINLUG, *BASELINES)


class Figure(NamedTuple):
    """One figure of one policy; ``goal`` is empty where the design page states none."""

    measure: str
    deployment: str
    policy: str
    name: str
    value: float
    goal: str
    met: bool | None


class Goal(NamedTuple):
    """A bound on a figure."""

    text: str
    met: Callable[[float], bool]


def lower_bound(bound: float) -> Goal:
    """Return a goal with a lower bound."""
    return Goal(f">= {bound:g}", lambda value: value >= bound)


def upper_bound(bound: float) -> Goal:
    """Return a goal with an upper bound."""
    return Goal(f"<= {bound:g}", lambda value: value <= bound)


def capacity_per_s(fleet: Fleet) -> float:
    """Return the capacity of all slots in requests/s of short work."""
    return fleet.targets * fleet.slots / SERVICE_MEAN_S


def poisson_times(
    random: Random, rate: Callable[[float], float], until_s: float, max_rate: float
) -> list[float]:
    """Draw the arrival times of a Poisson process with a varying rate, by thinning.

    Args:
        random: Source of randomness.
        rate: Rate in arrivals/s at a time.
        until_s: End of the process in seconds.
        max_rate: Upper bound of the rate.
    """
    times = []
    now = random.expovariate(max_rate)
    while now < until_s:
        if random.random() * max_rate < rate(now):
            times.append(now)
        now += random.expovariate(max_rate)
    return times


def draw_service_s(random: Random) -> float:
    """Draw the service time of a short request."""
    return SERVICE_MEDIAN_S * random.lognormvariate(0.0, SERVICE_SIGMA)


# Time in seconds and demand in multiples of capacity: light load, a rise within 2 s,
# the peak, a fall and light load again.
PEAK_POINTS = ((0.0, 0.5), (2.0, 0.5), (4.0, 3.0), (7.0, 3.0), (8.0, 0.5), (10.5, 0.5))
PEAK_ACCOUNTS = 20
LARGEST_SHARE = 0.4  # share of all requests that one account sends


def demand_at(at: float, points: Sequence[tuple[float, float]] = PEAK_POINTS) -> float:
    """Return the demand at a time, in multiples of capacity."""
    for (start, low), (end, high) in pairwise(points):
        if start <= at < end:
            return low + (high - low) * (at - start) / (end - start)
    return points[-1][1]


def peak_trace(fleet: Fleet, seed: int) -> Trace:
    """Build the demand peak, from half to three times the capacity within 2 s."""
    random = Random(seed)
    capacity = capacity_per_s(fleet)
    times = poisson_times(
        random, lambda at: demand_at(at) * capacity, PEAK_POINTS[-1][0], 3 * capacity
    )
    others = [f"account-{i:02}" for i in range(1, PEAK_ACCOUNTS)]
    # The largest of the other accounts sends five times as much as the smallest.
    weights = [1 + 4 * i / (len(others) - 1) for i in range(len(others))]
    arrivals = []
    for at in times:
        largest = random.random() < LARGEST_SHARE
        account = "account-00" if largest else random.choices(others, weights)[0]
        arrivals.append(Arrival(at, draw_service_s(random), account=account))
    return Trace("crest", fleet, arrivals)


def fair_shares(offered: Mapping[str, float], total: float) -> dict[str, float]:
    """Divide a capacity between client accounts by max-min fairness.

    Args:
        offered: Requests that each account has sent.
        total: Capacity to divide.

    Returns:
        The share of each account.
    """
    shares: dict[str, float] = {}
    left = total
    for index, account in enumerate(sorted(offered, key=lambda a: offered[a])):
        shares[account] = min(offered[account], left / (len(offered) - index))
        left -= shares[account]
    return shares


def measure_unloaded_p99_s(fleet: Fleet, seed: int) -> float:
    """Return the p99 latency of short requests at 5 % of capacity."""
    random = Random(seed + 1)
    rate = capacity_per_s(fleet) / 20
    times = poisson_times(random, lambda at: rate, 60.0, rate)
    trace = Trace(
        "unloaded", fleet, [Arrival(t, draw_service_s(random)) for t in times]
    )
    return quantile(
        (d.latency_s for d in replay(trace, seed=seed).finished_requests), 0.99
    )


def measure_peak(deployment: str, policy: Policy, seed: int) -> list[Figure]:
    """Measure the demand peak for one policy."""
    fleet = FLEETS[deployment]
    run = replay(peak_trace(fleet, seed), policy=policy, seed=seed)
    unloaded_p99_s = measure_unloaded_p99_s(fleet, seed)
    capacity = capacity_per_s(fleet)
    # Times at which the demand rises above and falls below the capacity.
    peak_start, peak_end = 2.4, 7.8
    useful = [done for done in run.finished_requests if done.useful]
    window_s = 0.5

    def rate(start: float, end: float) -> float:
        return sum(start <= d.finished_at_s < end for d in useful) / (end - start)

    peak_windows = [
        rate(peak_start + i * window_s, peak_start + (i + 1) * window_s) / capacity
        for i in range(1, int((peak_end - peak_start) / window_s))
    ]
    # With all slots in use, heavy-tailed service times still vary the number of
    # responses in half a second by 3 %. The share of slot time has no such noise.
    slot_use_by_window = [
        _useful_slot_s(useful, start, start + window_s)
        / (fleet.targets * fleet.slots * window_s)
        for start in (
            peak_start + i * window_s
            for i in range(1, int((peak_end - peak_start) / window_s))
        )
    ]
    at_peak = [
        d for d in run.finished_requests if peak_start <= d.arrival.at < peak_end
    ]
    offered: dict[str, float] = defaultdict(float)
    served_by_account: dict[str, float] = defaultdict(float)
    for done in at_peak:
        offered[done.arrival.account] += 1
        served_by_account[done.arrival.account] += done.useful
    shares = fair_shares(offered, sum(served_by_account.values()))
    p99 = quantile((d.latency_s for d in at_peak if d.useful), 0.99)

    def make_figure(name: str, value: float, goal: Goal | None = None) -> Figure:
        return _make_figure("crest", deployment, policy, name, value, goal)

    return [
        make_figure("useful / capacity, mean", rate(peak_start, peak_end) / capacity),
        make_figure(
            "useful / capacity, worst 0.5 s", min(peak_windows), lower_bound(0.95)
        ),
        make_figure(
            "useful slot time, worst 0.5 s", min(slot_use_by_window), lower_bound(0.95)
        ),
        make_figure("short p99 / unloaded p99", p99 / unloaded_p99_s, upper_bound(2.0)),
        make_figure(
            "least share / fair share",
            min(
                served_by_account[account] / share for account, share in shares.items()
            ),
            lower_bound(0.8),
        ),
        make_figure(
            "back to normal, s", _recovery_s(run, unloaded_p99_s), upper_bound(2.0)
        ),
        make_figure("most in slots / slots", _max_slot_use(run), upper_bound(1.0)),
        make_figure("attempts / request at peak", _mean([d.attempts for d in at_peak])),
    ]


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _max_slot_use(run: Replay) -> float:
    return (
        max(t.max_running for t in run.target_by_name.values()) / run.trace.fleet.slots
    )


def _useful_slot_s(
    useful: Sequence[FinishedRequest], start: float, end: float
) -> float:
    """Return the slot time of useful responses between two times, in seconds."""
    return sum(
        max(
            min(d.finished_at_s, end)
            - max(d.finished_at_s - d.arrival.service_s, start),
            0.0,
        )
        for d in useful
    )


def _recovery_s(run: Replay, unloaded_s: float) -> float:
    """Return the time from the end of the peak until all later windows are normal.

    A window of 0.25 s is normal if 99 % of the requests that arrive in it are useful
    and their p90 latency is at most the unloaded p99.
    """
    window_s, end = 0.25, 8.0
    last = end
    at = end
    while at < PEAK_POINTS[-1][0]:
        within = [
            d for d in run.finished_requests if at <= d.arrival.at < at + window_s
        ]
        useful = [d.latency_s for d in within if d.useful]
        normal = len(useful) >= 0.99 * len(within)
        if not normal or quantile(useful, 0.9) > unloaded_s:
            last = at + window_s
        at += window_s
    return last - end


class Mix(NamedTuple):
    """A mix of short work and work that is 100 times longer.

    Attributes:
        name: Name of the mix in figures.
        long_share: Share of the requests that are long.
        work: Work of the long route, ``long`` if declared and ``learned`` otherwise.
        warm_up_s: Time before requests count.
        until_s: End of the arrivals.
    """

    name: str
    long_share: float
    work: str
    warm_up_s: float
    until_s: float


MIXES = (
    Mix("5 % of requests", 0.05, "learned", 20.0, 60.0),
    # 5 % of all service time are 0.05 / 100 / 0.95 of the requests. An entry gets one
    # long request in 10 s, too few to learn from in a short run, so it is declared.
    Mix("5 % of service time", 0.000526, "long", 6.0, 17.0),
)


def mixed_trace(fleet: Fleet, mix: Mix, seed: int, load: float = 0.8) -> Trace:
    """Build the trace of a mix, at a load in multiples of capacity."""
    random = Random(seed)
    mean = SERVICE_MEAN_S * (1 + mix.long_share * (LONG_WORK_FACTOR - 1))
    rate = load * fleet.targets * fleet.slots / mean
    arrivals = []
    for at in poisson_times(random, lambda _: rate, mix.until_s, rate):
        service = draw_service_s(random)
        account = f"account-{random.randrange(20):02}"
        if random.random() < mix.long_share:
            arrivals.append(
                Arrival(
                    at,
                    LONG_WORK_FACTOR * service,
                    "bundle",
                    account,
                    deadline_s=120.0,
                    work=mix.work,
                )
            )
        else:
            arrivals.append(Arrival(at, service, "browse", account, deadline_s=10.0))
    return Trace("head_of_line", fleet, arrivals)


def measure_head_of_line(deployment: str, policy: Policy, seed: int) -> list[Figure]:
    """Measure head-of-line blocking of short work by long work for one policy."""
    figures = []
    for mix in MIXES:
        trace = mixed_trace(FLEETS[deployment], mix, seed)
        mixed = replay(trace, policy=policy, seed=seed)
        short_only = [a for a in trace.arrivals if a.route == "browse"]
        short_alone = replay(
            trace._replace(arrivals=short_only), policy=policy, seed=seed
        )
        measured_requests = [
            d for d in mixed.finished_requests if d.arrival.at >= mix.warm_up_s
        ]
        long_work = [d for d in measured_requests if d.arrival.route == "bundle"]
        short = [d for d in measured_requests if d.arrival.route == "browse"]

        def make_figure(
            name: str, value: float, goal: Goal | None = None, mix: Mix = mix
        ) -> Figure:
            label = f"{mix.name}: {name}"
            return _make_figure("head_of_line", deployment, policy, label, value, goal)

        ratio = _short_p99(mixed, mix) / _short_p99(short_alone, mix)
        figures += [
            make_figure("short p99 / alone", ratio, upper_bound(1.25)),
            make_figure("short useful", _mean([d.useful for d in short])),
            make_figure(
                "long useful", _mean([d.useful for d in long_work]), lower_bound(0.99)
            ),
            make_figure(
                "long p50 stretch",
                quantile(
                    (d.latency_s / d.arrival.service_s for d in long_work if d.useful),
                    0.5,
                ),
            ),
        ]
    return figures


def measure_detection(deployment: str, policy: Policy, seed: int) -> list[Figure]:
    """Measure the detection of faulty targets for one policy."""

    def peak_times(fleet: Fleet, seed: int) -> list[float]:
        capacity = capacity_per_s(fleet)
        points = detection.PEAK_POINTS
        return poisson_times(
            Random(seed),
            lambda at: demand_at(at, points) * capacity,
            points[-1][0],
            2 * capacity,
        )

    return [
        _make_figure(
            "detection",
            deployment,
            policy,
            name,
            value,
            None if max_value is None else upper_bound(max_value),
        )
        for name, value, max_value in detection.measure_policy(
            FLEETS[deployment], policy.name, seed, peak_times
        )
    ]


def _short_p99(run: Replay, mix: Mix) -> float:
    return quantile(
        (
            d.latency_s
            for d in run.finished_requests
            if d.useful
            and d.arrival.route == "browse"
            and d.arrival.at >= mix.warm_up_s
        ),
        0.99,
    )


def _make_figure(
    measure: str,
    deployment: str,
    policy: Policy,
    name: str,
    value: float,
    goal: Goal | None,
) -> Figure:
    return Figure(
        measure,
        deployment,
        policy.name,
        name,
        value,
        goal.text if goal else "",
        goal.met(value) if goal else None,
    )


MeasureFunction = Callable[[str, Policy, int], list[Figure]]
MEASURES: dict[str, MeasureFunction] = {
    "crest": measure_peak,
    "head_of_line": measure_head_of_line,
    "detection": measure_detection,
}
POLICIES_BY_MEASURE: dict[str, Sequence[Policy]] = {
    # The peak has no long work, so the policy without a reserve would not differ.
    "crest": [p for p in POLICIES if p.reserve_slots_for_short_work],
    "head_of_line": POLICIES,
    "detection": detection.POLICIES,
}


def _run_measure(measure: str, deployment: str, index: int, seed: int) -> list[Figure]:
    # The policy is passed by its index, since its functions cannot be pickled.
    policy = POLICIES_BY_MEASURE[measure][index]
    return MEASURES[measure](deployment, policy, seed)


def format_table(figures: Sequence[Figure]) -> str:
    """Format figures as a table with a column for each policy."""
    lines = []
    by_row: dict[tuple[str, str, str], dict[str, Figure]] = defaultdict(dict)
    for figure in figures:
        by_row[figure.measure, figure.deployment, figure.name][figure.policy] = figure
    previous: tuple[str, str] | None = None
    for (measure, deployment, name), row in by_row.items():
        if (measure, deployment) != previous:
            previous = measure, deployment
            header_cells = "".join(f"{policy[:15]:>17}" for policy in row)
            lines += [
                "",
                f"{measure}, {deployment}",
                f"{'':44}{'goal':>8}{header_cells}",
            ]
        values = ""
        goal = ""
        for figure in row.values():
            goal = figure.goal
            mark = " " if figure.met in (True, None) else "!"
            values += f"{figure.value:>16.3f}{mark}"
        lines.append(f"{name:44}{goal:>8}{values}")
    return "\n".join([*lines, "", "! marks a figure that misses its goal."])


def plot_figures(figures: Sequence[Figure], out: Path) -> None:
    """Plot the figures that have a goal, in one file for each measure."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    for measure in sorted({figure.measure for figure in figures}):
        rows: dict[str, list[Figure]] = defaultdict(list)
        for figure in figures:
            if figure.measure == measure and figure.goal:
                rows[f"{figure.deployment}\n{figure.name}"].append(figure)
        plot_figure, axes = pyplot.subplots(len(rows), 1, figsize=(8, 1.6 * len(rows)))
        for axis, (label, row) in zip(axes, rows.items(), strict=True):
            axis.barh([f.policy for f in row], [f.value for f in row])
            axis.axvline(float(row[0].goal.split()[1]), color="black", linestyle="--")
            axis.set_title(f"{label}  (goal {row[0].goal})", fontsize=8)
            axis.tick_params(labelsize=7)
        plot_figure.tight_layout()
        plot_figure.savefig(out / f"{measure}.png")
        pyplot.close(plot_figure)


def main() -> None:
    """Run the measures named on the command line, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("measures", nargs="*", metavar="MEASURE")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--out", type=Path, default=OUT)
    options = parser.parse_args()
    names = options.measures or list(MEASURES)
    unknown = [name for name in names if name not in MEASURES]
    if unknown:
        parser.error(f"unknown measures: {', '.join(unknown)}")
    print(f"seed {options.seed}")
    jobs = [
        (name, deployment, index, options.seed)
        for name in names
        for deployment in FLEETS
        for index in range(len(POLICIES_BY_MEASURE[name]))
    ]
    with ProcessPoolExecutor(WORKERS) as pool:
        parts = pool.map(_run_measure, *zip(*jobs, strict=True))
        figures = [figure for part in parts for figure in part]
    options.out.mkdir(exist_ok=True)
    (options.out / "measures.json").write_text(
        json.dumps(
            {"seed": options.seed, "figures": [f._asdict() for f in figures]}, indent=1
        ),
        "utf-8",
    )
    plot_figures(figures, options.out)
    print(format_table(figures))


if __name__ == "__main__":
    main()
