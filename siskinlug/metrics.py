"""OpenTelemetry instruments, exported in Prometheus format on the admin port.

Labels are routes, pools, verdicts and reasons, whose number the tables limit. Accounts
and targets are no labels because there are thousands of them.
"""

from typing import NamedTuple

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Counter, Histogram, UpDownCounter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import REGISTRY, generate_latest

_SECONDS_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 5, 30)


class Metrics(NamedTuple):
    """Instruments of one daemon.

    Attributes:
        requests: Requests that got a response, by route, status class and verdict.
        refusals: Refused requests, by reason.
        attempts: Attempts sent to targets, by route and outcome.
        retries: Attempts after the first, by pool.
        limits: Hits of the limits of a port, by port and limit.
        signals: Signals that own targets begin or end in their responses, by signal.
        configuration_reads: Reads of the source of the configuration, by outcome.
        duration: Seconds from the head of a request to the end of its response, by
            route.
        in_flight: Requests in progress.
    """

    requests: Counter
    refusals: Counter
    attempts: Counter
    retries: Counter
    limits: Counter
    signals: Counter
    configuration_reads: Counter
    duration: Histogram
    in_flight: UpDownCounter


def make_metrics() -> Metrics:
    """Create the instruments; call it once per process."""
    view = View(
        instrument_name="siskinlug.request.duration",
        aggregation=ExplicitBucketHistogramAggregation(_SECONDS_BUCKETS),
    )
    provider = MeterProvider(metric_readers=[PrometheusMetricReader()], views=[view])
    meter = provider.get_meter("siskinlug")
    return Metrics(
        requests=meter.create_counter("siskinlug.requests", unit="1"),
        refusals=meter.create_counter("siskinlug.refusals", unit="1"),
        attempts=meter.create_counter("siskinlug.attempts", unit="1"),
        retries=meter.create_counter("siskinlug.retries", unit="1"),
        limits=meter.create_counter("siskinlug.limits", unit="1"),
        signals=meter.create_counter("siskinlug.target.signals", unit="1"),
        configuration_reads=meter.create_counter(
            "siskinlug.configuration.reads", unit="1"
        ),
        duration=meter.create_histogram("siskinlug.request.duration", unit="s"),
        in_flight=meter.create_up_down_counter("siskinlug.in_flight", unit="1"),
    )


def export_metrics() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
