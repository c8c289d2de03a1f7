"""Writes the small traces in ``bench/traces``; run after changing one here."""

from random import Random

from bench.trace import TRACES, Arrival, Fault, Fleet, Trace, save_trace

_FLEET = Fleet(targets=4, slots=4, domains=2)
_ALL_END = {"left_running": (0, 0), "most_in_slots": (0, 1)}


def _steady(
    random: Random, count: int, gap_s: float, **fields: object
) -> list[Arrival]:
    return [
        Arrival(i * gap_s, random.lognormvariate(-4.2, 0.5), **fields)  # type: ignore[arg-type]
        for i in range(count)
    ]


def traces() -> list[Trace]:
    """Build the traces; every trace states that all requests end."""
    random = Random(7)
    calm = _steady(random, 200, 0.01)
    once = _steady(random, 120, 0.01, idempotent=False, deadline_s=0.5)
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
        Trace("calm", _FLEET, calm, (), {"useful": (200, 200), "attempts": (200, 200)}),
        Trace(
            "one_target_refuses",
            _FLEET,
            calm,
            [Fault("t01", 0.5, 1.5, "refuse")],
            {"useful": (190, 200), "may_have_run": (0, 0)},
        ),
        Trace(
            "silent_target_unsafe_work",
            _FLEET,
            once,
            [Fault("t02", 0.2, 0.8, "silent")],
            # Work that is not idempotent and may have run is not repeated.
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
            calm,
            [Fault("t03", 0.2, 1.2, "shed", ratio=0.5)],
            {"useful": (185, 200), "may_have_run": (0, 0)},
        ),
    ]


def main() -> None:
    """Write all traces."""
    for trace in traces():
        stated = {"ended": (len(trace.arrivals),) * 2, **_ALL_END, **trace.expect}
        save_trace(trace._replace(expect=stated), TRACES / f"{trace.name}.jsonl")


if __name__ == "__main__":
    main()
