"""Writes the small traces in ``bench/traces``; run it after changing a trace here."""

from random import Random

from bench.trace import TRACES, Arrival, Fault, Fleet, Trace, save_trace

_FLEET = Fleet(targets=4, slots=4, domains=2)
_COMMON_BOUNDS = {"left_running": (0, 0), "most_in_slots": (0, 1)}


def _steady_arrivals(
    random: Random, count: int, gap_s: float, **fields: object
) -> list[Arrival]:
    return [
        Arrival(i * gap_s, random.lognormvariate(-4.2, 0.5), **fields)  # type: ignore[arg-type]
        for i in range(count)
    ]


def make_traces() -> list[Trace]:
    """Build the traces; ``main`` adds the bounds that all of them share."""
    random = Random(7)
    steady = _steady_arrivals(random, 200, 0.01)
    non_idempotent = _steady_arrivals(
        random, 120, 0.01, idempotent=False, deadline_s=0.5
    )
    burst = [Arrival(0.1, 0.02, account=f"a{i % 5}") for i in range(150)]
    mixed = [
        Arrival(
            i * 0.01,
            2.0 if i % 20 == 0 else 0.02,
            work="long" if i % 20 == 0 else "short",
            route="bundle" if i % 20 == 0 else "browse",
            deadline_s=30.0,
        )
        for i in range(300)
    ]
    return [
        Trace(
            "calm", _FLEET, steady, (), {"useful": (200, 200), "attempts": (200, 200)}
        ),
        Trace(
            "one_target_refuses",
            _FLEET,
            steady,
            [Fault("t01", 0.5, 1.5, "refuse")],
            {"useful": (190, 200), "may_have_run": (0, 0)},
        ),
        Trace(
            "silent_target_unsafe_work",
            _FLEET,
            non_idempotent,
            [Fault("t02", 0.2, 0.8, "silent")],
            # Requests that are not idempotent and may have run are not retried.
            {"runs": (0, 120), "may_have_run": (1, 10), "useful": (110, 119)},
        ),
        Trace(
            "burst_beyond_queues",
            _FLEET._replace(queue=8),
            burst,
            (),
            {"useful": (40, 110), "may_have_run": (0, 0)},
        ),
        Trace(
            "long_beside_short",
            _FLEET,
            mixed,
            (),
            {"useful": (300, 300), "short_p99_ms": (20, 45)},
        ),
        Trace(
            "one_target_sheds",
            _FLEET,
            steady,
            [Fault("t03", 0.2, 1.2, "shed", ratio=0.5)],
            {"useful": (185, 200), "may_have_run": (0, 0)},
        ),
    ]


def main() -> None:
    """Write all traces."""
    for trace in make_traces():
        bounds = {"ended": (len(trace.arrivals),) * 2, **_COMMON_BOUNDS, **trace.expect}
        save_trace(trace._replace(expect=bounds), TRACES / f"{trace.name}.jsonl")


if __name__ == "__main__":
    main()
