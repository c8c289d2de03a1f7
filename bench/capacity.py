"""Measure one daemon at several fleet sizes, for ``docs/CAPACITY.md``.

``python -m bench.capacity`` starts one real daemon at a time with synthetic peers,
targets, tables, accounts and changes of 1/16, 1/4, 1/1 and 1.5 times the two-year size.
It writes raw figures, fitted lines and residuals to ``docs/capacity.json``. Processor
time is what the kernel accounts to the daemon's threads, so other load on the machine
has little effect on it.
"""

import argparse
import asyncio
import os
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from random import Random
from statistics import fmean, linear_regression, median
from typing import Any

from returns.result import Success
from tornado.httputil import HTTPHeaders

from bench.capacity_memory import measure_libraries_mb, measure_memory
from bench.capacity_model import poll_interval_s
from bench.capacity_peers import LogRelay, SyntheticPeers, open_log_relay
from bench.capacity_size import (
    PEER_PORT,
    RESULTS_PATH,
    SIZE_FRACTIONS,
    Size,
    load_results,
    make_node_records,
    pools_text,
    request_path,
    routes_text,
    save_results,
    scale_size,
)
from bench.fleet import CALLER_PORT, TOKEN, Fleet, NodeSpec, Process, open_fleet
from siskinlug.body import body_from_bytes
from siskinlug.configuration import (
    EMPTY_STATE,
    fold,
    publish_record,
    snapshot_record,
    tables_of,
)
from siskinlug.connections import Address, make_connection_pool, open_connection
from siskinlug.exchange import RequestHead, exchange
from siskinlug.messages import Announcement, AnnouncementAnswer
from standins.log_service import LogState, serve

SEED = 7
# Number of the daemon in the fleet's address range; the log service has number 0.
DAEMON_NUMBER = 1
OWN_TARGETS = 8
IDLE_S = 6.0
BURST_S = 3.0
BURST_PINGS_PER_S = 50
BURST_RENEWALS_PER_S = 10
CHANGE_COUNT = 4
RECORD_CHANGE_COUNT = 60
REQUEST_COUNT = 480
# 35,000 requests/s over 430 nodes.
REQUESTS_PER_S_PER_NODE = 81
MAX_IN_FLIGHT = 8
MAX_WAIT_S = 30.0
# TCP and IP headers of a call over a connection of its own: 11 segments of 52 bytes.
TCP_BYTES_PER_CALL = 572


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds.

    It is summed over the ``schedstat`` files of the threads, which are exact;
    ``/proc/PID/stat`` counts in steps of 10 ms.
    """
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        with suppress(OSError):
            total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def fit_line(points: Sequence[Sequence[float]]) -> dict[str, float]:
    """Fit a line to points.

    Args:
        points: Pairs of a count and a value.

    Returns:
        Value at zero, slope, and the largest residual as a fraction of the largest
        value.
    """
    slope, base = linear_regression(*zip(*points, strict=True))
    largest_residual = max(abs(base + slope * x - y) for x, y in points)
    return {
        "base": base,
        "slope": slope,
        "residual": largest_residual / max(abs(point[1]) for point in points),
    }


class _DaemonBench:
    """One daemon with its synthetic peers, its log service and its own targets.

    Attributes:
        fleet: Fleet that starts the process of the daemon.
        peers: Synthetic peers.
        relay: Relay between the daemon and the log service.
        log: State of the log service.
        size: Size of the fleet.
        process: Process of the daemon, once started.
        address: Peer address of the daemon.
        pool: Connection pool of the simulated callers and entries.
    """

    def __init__(
        self,
        fleet: Fleet,
        peers: SyntheticPeers,
        relay: LogRelay,
        log: LogState,
        size: Size,
    ) -> None:
        self.fleet = fleet
        self.peers = peers
        self.relay = relay
        self.log = log
        self.size = size
        self.loop = asyncio.get_running_loop()
        self.process: Process | None = None
        self.address: Address = (fleet.host(DAEMON_NUMBER), 8081)
        self.pool = make_connection_pool(monotonic=self.loop.time)

    @property
    def pid(self) -> int:
        """Process id of the daemon."""
        assert self.process is not None and self.process.popen is not None
        return self.process.popen.pid

    def publish(self, table: str, text: str, *, base: int) -> None:
        """Append a change to the log and apply it to the peers' configuration."""
        record = publish_record(
            f"{table}-{base}",
            table,
            text,
            base=base,
            operator="bench",
            note="",
            at_ms=int(time.time() * 1000),
        )
        self.log.append("configuration", record)
        self.fold_new_records()

    def fold_new_records(self) -> None:
        """Apply new log records to the peers' configuration.

        The records include snapshots written by the daemon.
        """
        page = self.log.read("configuration", self.peers.configuration.offset, 100)
        for item in page["records"]:
            self.peers.configuration = fold(
                self.peers.configuration, item["offset"], item["record"]
            )

    async def wait_until(self, condition: Callable[[], bool], message: str) -> float:
        """Wait until a condition holds.

        Args:
            condition: Condition to poll.
            message: Message of the error.

        Returns:
            Loop time in seconds at which the condition held.

        Raises:
            TimeoutError: The condition did not hold within ``MAX_WAIT_S``.
        """
        deadline = self.loop.time() + MAX_WAIT_S
        while not condition():
            if self.loop.time() > deadline:
                raise TimeoutError(message)
            await asyncio.sleep(0.01)
        return self.loop.time()

    async def start(self) -> dict[str, float]:
        """Start the daemon and wait until it has joined with the tables in force.

        Returns:
            Times, CPU time, memory and traffic of the start.
        """
        self.peers.in_force_at_by_offset.clear()
        self.peers.daemon_digest = ""
        node = NodeSpec(DAEMON_NUMBER, "domain-0", "region-a")
        text = self.fleet.settings_text(node, ())
        seeds = " ".join(f"{r.host}:{PEER_PORT}" for r in self.peers.records[:3])
        path = self.fleet.folder / "daemon.ini"
        path.write_text(text.replace("peers = \n", f"peers = {seeds}\n"))
        started = self.loop.time()
        before = self.relay.total(), self.peers.total_bytes()
        self.process = self.fleet.start(
            "node-1", ["-m", "siskinlug.daemon", "--config", str(path)]
        )
        offset = self.peers.configuration.offset
        in_force = await self.wait_until(
            lambda: offset in self.peers.in_force_at_by_offset,
            "the tables are not in force",
        )
        joined = await self.wait_until(
            self.peers.daemon_joined, "the daemon has not joined"
        )
        return {
            "in_force_s": in_force - started,
            "joined_s": joined - started,
            "cpu_s": read_cpu_s(self.pid),
            "rss_mb": read_resident_mb(self.pid),
            "log_bytes": self.relay.total() - before[0],
            "peer_bytes": self.peers.total_bytes() - before[1],
        }

    def stop(self) -> None:
        """Kill the daemon."""
        assert self.process is not None
        self.process.kill()

    async def measure_during(
        self, seconds: float, *loads: Awaitable[Any]
    ) -> dict[str, Any]:
        """Measure the daemon over a period while it is under load.

        Args:
            seconds: Length of the period in seconds.
            loads: Coroutines that generate the load.

        Returns:
            CPU time, calls, traffic and memory of the daemon.
        """
        bytes_before = self.peers.bytes_by_kind()
        calls_before = self.peers.calls_by_path.copy()
        log_bytes, log_reads = self.relay.total(), self.log.reads
        connections = self.relay.connections
        started, cpu_start_s = self.loop.time(), read_cpu_s(self.pid)
        await asyncio.gather(asyncio.sleep(seconds), *loads)
        elapsed_s = self.loop.time() - started
        cpu_used_s = read_cpu_s(self.pid) - cpu_start_s
        peer_bytes = self.peers.bytes_by_kind() - bytes_before
        calls = self.peers.calls_by_path - calls_before
        tcp_bytes = TCP_BYTES_PER_CALL * (calls.total() - calls["/announce"])
        return {
            "seconds": elapsed_s,
            "cpu_s": cpu_used_s,
            "bytes_by_kind": dict(peer_bytes),
            "calls": dict(calls),
            "tcp_bytes": tcp_bytes
            + TCP_BYTES_PER_CALL * (self.relay.connections - connections),
            "log_bytes": self.relay.total() - log_bytes,
            "log_reads": self.log.reads - log_reads,
            "rss_mb": read_resident_mb(self.pid),
        }

    async def send_pings(self, seconds: float, rate: float) -> None:
        """Send heartbeats to the daemon at a rate per second."""
        for _ in range(round(seconds * rate)):
            await self.peers.ping(self.address)
            await asyncio.sleep(1 / rate)

    async def announce(self, number: int) -> None:
        """Renew the announcement of one of the daemon's own targets."""
        host = self.peers.records[0].host
        message = Announcement(
            target=f"own-{number}",
            service="own",
            host=host,
            port=PEER_PORT,
            slots=MAX_IN_FLIGHT,
            incarnation=1,
            epoch=1,
            state="ready",
            probe_path="/health",
        )
        # Targets reuse their connection, as the stand-in target does.
        await self.peers.call(
            self.address, "/announce", message, AnnouncementAnswer, fresh=False
        )

    async def renew_announcements(self, seconds: float, rate: float) -> None:
        """Renew the announcements of all own targets, each at a rate per second."""
        for _ in range(round(seconds * rate)):
            started = self.loop.time()
            for number in range(OWN_TARGETS):
                await self.announce(number)
            elapsed_s = self.loop.time() - started
            await asyncio.sleep(max(0.0, 1 / rate - elapsed_s))

    async def change_routes(self, number: int) -> dict[str, Any]:
        """Publish a changed routes table and measure until the daemon has it in force.

        The daemon learns of the change from a push of a peer.
        """
        text = routes_text(self.size, change=number)
        self.publish("routes", text, base=number)
        offset = self.peers.configuration.offset
        started = self.loop.time()

        async def notify_daemon() -> None:
            await self.peers.push(self.address, (), with_position=True)
            await self.wait_until(
                lambda: offset in self.peers.in_force_at_by_offset,
                "the change is not in force",
            )

        measured = await self.measure_during(1.5, notify_daemon())
        measured["in_force_s"] = self.peers.in_force_at_by_offset[offset] - started
        return measured

    async def push_record_changes(self) -> None:
        """Push changed node records to the daemon, as when nodes are replaced."""
        for number in range(RECORD_CHANGE_COUNT):
            index = 1 + number % (self.size.nodes - 1)
            held = self.peers.records[index]
            record = held._replace(incarnation=held.incarnation + 1000 + number)
            self.peers.records[index] = record
            self.peers.membership.directory.put(record)
            await self.peers.push(self.address, [record], with_position=False)
            await asyncio.sleep(0.04)

    async def send_requests(
        self, port: int, head_of: Callable[[int], RequestHead]
    ) -> dict[str, int]:
        """Send requests at the mean rate of a node.

        Args:
            port: Port of the daemon.
            head_of: Returns the head of each numbered request.

        Returns:
            Number of failed requests by cause, or by status other than 200 and reason.
        """
        failed: Counter[str] = Counter()
        in_flight = asyncio.Semaphore(MAX_IN_FLIGHT)

        async def send_one(number: int) -> None:
            async with (
                in_flight,
                open_connection(self.pool, (self.address[0], port)) as opened,
            ):
                assert isinstance(opened, Success)
                async with exchange(
                    opened.unwrap(),
                    head_of(number),
                    body_from_bytes(b""),
                    first_byte_timeout_s=5.0,
                ) as result:
                    if not isinstance(result, Success):
                        failed[result.failure().cause] += 1
                        return
                    answer = result.unwrap()
                    async for _ in answer.body.chunks():
                        pass
                    if answer.status != 200:
                        reason = answer.headers.get("Siskinlug-Reason", "")
                        failed[f"{answer.status} {reason}"] += 1

        started = self.loop.time()
        tasks = []
        for number in range(REQUEST_COUNT):
            due = started + number / REQUESTS_PER_S_PER_NODE
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            tasks.append(asyncio.create_task(send_one(number)))
        await asyncio.gather(*tasks)
        return dict(failed)

    def caller_head(self, number: int) -> RequestHead:
        """Return the head of a caller's request, spread over routes and accounts."""
        headers = HTTPHeaders(
            {
                "Host": "orders.example",
                "X-Account": f"account-{number * 37 % self.size.accounts:06d}",
            }
        )
        return RequestHead("GET", request_path(number * 7 % self.size.routes), headers)

    def attempt_head(self, number: int) -> RequestHead:
        """Return the head of another node's attempt at a target of this daemon."""
        headers = HTTPHeaders(
            {
                "Host": "orders.example",
                "Siskinlug-Token": TOKEN,
                "Siskinlug-Attempt": f"node-0009-18bcfe56800-{number:x}",
                "Siskinlug-Target": f"own-{number % OWN_TARGETS}",
                "Siskinlug-Route": f"route-{number * 7 % self.size.routes:04d}",
                "Siskinlug-Account": f"account-{number * 37 % self.size.accounts:06d}",
                "Siskinlug-Priority": "5",
                "Siskinlug-Work": "short",
                "Siskinlug-Idempotent": "yes",
                "Siskinlug-Deadline-Ms": "4000",
                "Siskinlug-Fingerprint": f"{number:032x}",
            }
        )
        return RequestHead("GET", request_path(number * 7 % self.size.routes), headers)


async def measure_size(fraction: float, *, number: int) -> dict[str, Any]:
    """Measure one daemon in a fleet of a given size.

    Args:
        fraction: Size of the fleet as a fraction of the two-year size.
        number: Number of the measurement, which selects the peers' address range.
    """
    size = scale_size(fraction)
    async with AsyncExitStack() as stack:
        fleet = stack.enter_context(open_fleet())
        prefix = f"127.{230 + number}"
        peers = SyntheticPeers(
            make_node_records(size, prefix=prefix), random=Random(SEED)
        )
        await peers.start()
        stack.callback(peers.stop)
        log = LogState()
        server, log_port = serve(log)
        stack.callback(server.stop)
        relay = await stack.enter_async_context(
            open_log_relay(fleet.host(0), 8090, log_port)
        )
        bench = _DaemonBench(fleet, peers, relay, log, size)
        stack.callback(bench.pool.close)
        bench.publish("pools", pools_text(size), base=0)
        bench.publish("routes", routes_text(size), base=0)
        snapshot = snapshot_record(peers.configuration, at_ms=int(time.time() * 1000))
        log.append("configuration", snapshot)
        bench.fold_new_records()
        figures: dict[str, Any] = {"fraction": fraction, **size._asdict()}
        figures["start"] = await bench.start()
        await asyncio.sleep(2)
        figures["rest"] = await bench.measure_during(
            IDLE_S, bench.send_pings(IDLE_S, 1)
        )
        figures["pings"] = await bench.measure_during(
            BURST_S, bench.send_pings(BURST_S, BURST_PINGS_PER_S)
        )
        await bench.renew_announcements(2, 1)
        figures["renewals"] = await bench.measure_during(
            BURST_S, bench.renew_announcements(BURST_S, BURST_RENEWALS_PER_S)
        )
        figures["rest_owning"] = await bench.measure_during(
            IDLE_S, bench.send_pings(IDLE_S, 1), bench.renew_announcements(IDLE_S, 1)
        )
        figures["changes"] = [
            await bench.change_routes(n) for n in range(1, 1 + CHANGE_COUNT)
        ]
        figures["record_changes"] = await bench.measure_during(
            BURST_S, bench.push_record_changes()
        )
        failed = []

        # The leases of the targets lapsed during the changes.
        await bench.renew_announcements(1, 1)

        async def load_entry() -> None:
            failed.append(await bench.send_requests(CALLER_PORT, bench.caller_head))

        async def load_owner() -> None:
            failed.append(await bench.send_requests(8081, bench.attempt_head))

        figures["entry"] = await bench.measure_during(
            REQUEST_COUNT / REQUESTS_PER_S_PER_NODE,
            bench.renew_announcements(REQUEST_COUNT / REQUESTS_PER_S_PER_NODE, 1),
            load_entry(),
        )
        figures["owner"] = await bench.measure_during(
            REQUEST_COUNT / REQUESTS_PER_S_PER_NODE,
            bench.renew_announcements(REQUEST_COUNT / REQUESTS_PER_S_PER_NODE, 1),
            load_owner(),
        )
        figures["failed_requests"] = failed
        bench.stop()
        log.faults.down = "refuse"
        figures["start_without_log"] = await bench.start()
        bench.stop()
    figures["tables"] = _measure_table_costs(size)
    return figures


def _measure_table_costs(size: Size) -> dict[str, float]:
    """Measure the CPU time to fold and build tables that are not in the parse cache."""
    fold_s, texts = [], 0
    for change in range(4):
        state = EMPTY_STATE
        pools = pools_text(size) + f"# {change}\n"
        routes = routes_text(size, change=change) + f"# {size} {change}\n"
        texts = len(pools) + len(routes)
        started = time.process_time()
        for offset, (table, text) in enumerate((("pools", pools), ("routes", routes))):
            record = publish_record(
                table, table, text, base=0, operator="bench", note="", at_ms=1
            )
            state = fold(state, offset, record)
        tables_of(state)
        fold_s.append(time.process_time() - started)
        assert state.routes_version == 1, state.changes
    return {"fold_cpu_s": median(fold_s), "text_bytes": texts}


def derive_rows(sizes: list[dict[str, Any]]) -> list[dict[str, float]]:
    """Derive the figures of each size, to which lines are fitted, from raw figures."""
    # At full size a node reads the log too rarely to count reads in a few seconds, so
    # the bytes of a read are averaged over all sizes.
    idle_phases = [
        figures[phase] for figures in sizes for phase in ("rest", "rest_owning")
    ]
    bytes_per_log_read = sum(p["log_bytes"] for p in idle_phases) / sum(
        p["log_reads"] for p in idle_phases
    )
    rows = []
    for figures in sizes:
        rest, owning = figures["rest"], figures["rest_owning"]
        ping_cpu_s = (
            figures["pings"]["cpu_s"] - rest["cpu_s"] / rest["seconds"] * BURST_S
        ) / figures["pings"]["calls"]["/peer/ping"]
        idle_share = owning["cpu_s"] / owning["seconds"]
        # The difference between two renewal rates cancels out the monitoring of own
        # targets. The phase with the lower rate also has one heartbeat per second.
        fast, slow = figures["renewals"], owning
        renewal_cpu_s = (
            fast["cpu_s"] / fast["seconds"] - (idle_share - ping_cpu_s)
        ) / (
            fast["calls"]["/announce"] / fast["seconds"]
            - slow["calls"]["/announce"] / slow["seconds"]
        )
        monitoring_share = (
            idle_share
            - rest["cpu_s"] / rest["seconds"]
            - renewal_cpu_s * slow["calls"]["/announce"] / slow["seconds"]
        )
        changes = figures["changes"]
        change_cpu_s = [
            max(0.0, c["cpu_s"] - rest["cpu_s"] / rest["seconds"] * c["seconds"])
            for c in changes
        ]
        peer_bytes = sum(
            v for k, v in owning["bytes_by_kind"].items() if k.startswith("/peer/")
        )
        announce_bytes = owning["bytes_by_kind"].get("/announce", 0)
        records = figures["record_changes"]
        record_bytes = sum(
            v
            for k, v in records["bytes_by_kind"].items()
            if k in ("/peer/push", "/peer/ping", "/peer/sync")
        )
        rows.append(
            {
                "nodes": figures["nodes"],
                "targets": figures["targets"],
                "routes": figures["routes"],
                "rss_start_mb": figures["start"]["rss_mb"],
                "rss_end_mb": figures["owner"]["rss_mb"],
                "heartbeat_cpu_ms": ping_cpu_s * 1000,
                "renewal_cpu_ms": renewal_cpu_s * 1000,
                "watch_cpu_percent": 100 * monitoring_share,
                "rest_alone_cpu_percent": 100 * rest["cpu_s"] / rest["seconds"],
                "log_reads_s": 1 / poll_interval_s(figures["nodes"]),
                "rss_changed_mb": figures["changes"][-1]["rss_mb"],
                "rest_cpu_percent": 100 * idle_share,
                "rest_peer_bytes_s": peer_bytes / owning["seconds"],
                "rest_announce_bytes_s": announce_bytes / owning["seconds"],
                "rest_log_bytes_s": bytes_per_log_read
                / poll_interval_s(figures["nodes"]),
                "rest_tcp_bytes_s": owning["tcp_bytes"] / owning["seconds"],
                "change_cpu_ms": 1000 * fmean(change_cpu_s),
                "change_bytes": fmean(
                    sum(c["bytes_by_kind"].values()) + c["log_bytes"] for c in changes
                ),
                "change_fetch_bytes": fmean(
                    c["bytes_by_kind"].get("/peer/configuration", 0) for c in changes
                ),
                "change_in_force_s": fmean(c["in_force_s"] for c in changes),
                "record_change_bytes": record_bytes / RECORD_CHANGE_COUNT,
                "record_change_cpu_ms": 1000
                * (records["cpu_s"] - rest["cpu_s"] / rest["seconds"] * BURST_S)
                / RECORD_CHANGE_COUNT,
                "entry_cpu_ms": 1000
                * (figures["entry"]["cpu_s"] - idle_share * figures["entry"]["seconds"])
                / REQUEST_COUNT,
                "owner_cpu_ms": 1000
                * (figures["owner"]["cpu_s"] - idle_share * figures["owner"]["seconds"])
                / REQUEST_COUNT,
                "fold_cpu_ms": 1000 * figures["tables"]["fold_cpu_s"],
                "text_bytes": figures["tables"]["text_bytes"],
                "start_s": figures["start"]["joined_s"],
                "start_cpu_s": figures["start"]["cpu_s"],
                "start_bytes": figures["start"]["peer_bytes"]
                + figures["start"]["log_bytes"],
                "start_without_log_s": max(
                    figures["start_without_log"]["joined_s"],
                    figures["start_without_log"]["in_force_s"],
                ),
                "start_without_log_cpu_s": figures["start_without_log"]["cpu_s"],
                "start_without_log_bytes": figures["start_without_log"]["peer_bytes"],
            }
        )
    return rows


# Count against which each figure is fitted.
COUNT_BY_FIGURE = {
    "rss_start_mb": "nodes",
    "rss_end_mb": "nodes",
    "heartbeat_cpu_ms": "nodes",
    "renewal_cpu_ms": "nodes",
    "watch_cpu_percent": "nodes",
    "rest_alone_cpu_percent": "log_reads_s",
    "rss_changed_mb": "nodes",
    "rest_cpu_percent": "nodes",
    "rest_peer_bytes_s": "nodes",
    "change_cpu_ms": "routes",
    "change_bytes": "routes",
    "change_in_force_s": "routes",
    "record_change_bytes": "nodes",
    "record_change_cpu_ms": "nodes",
    "entry_cpu_ms": "nodes",
    "owner_cpu_ms": "nodes",
    "fold_cpu_ms": "routes",
    "text_bytes": "routes",
    "start_cpu_s": "nodes",
    "start_bytes": "nodes",
}


def fit_figures(rows: list[dict[str, float]]) -> dict[str, dict[str, float]]:
    """Fit a line to each figure against its count."""
    return {
        name: fit_line([(row[along], row[name]) for row in rows])
        for name, along in COUNT_BY_FIGURE.items()
    }


async def _measure() -> tuple[list[dict[str, Any]], dict[str, list[list[int]]], float]:
    memory = asyncio.create_task(asyncio.to_thread(measure_memory))
    libraries_memory_mb = await asyncio.to_thread(measure_libraries_mb)
    sizes = []
    for number, fraction in enumerate(SIZE_FRACTIONS):
        sizes.append(await measure_size(fraction, number=number))
        print(f"{fraction:g} times the size: {sizes[-1]['start']}", flush=True)
    return sizes, await memory, libraries_memory_mb


def _save_figures(
    daemon: dict[str, Any],
    memory: dict[str, list[list[int]]],
    path: Path = RESULTS_PATH,
) -> None:
    rows = derive_rows(daemon["sizes"])
    fits = fit_figures(rows)
    save_results("daemon", {**daemon, "rows": rows, "fits": fits}, path)
    memory_fits = {kind: fit_line(pairs) for kind, pairs in memory.items()}
    save_results(
        "memory",
        {k: {"points": memory[k], "fit": memory_fits[k]} for k in memory},
        path,
    )
    for name, fitted in fits.items():
        print(f"{name}: {fitted}")
    for kind, fitted in memory_fits.items():
        print(f"bytes of a {kind}: {fitted}")


def main() -> None:
    """Measure, print the fitted lines and save the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--derive", action="store_true", help="only fit the recorded figures again"
    )
    if parser.parse_args().derive:
        results = load_results()
        memory = {kind: held["points"] for kind, held in results["memory"].items()}
        _save_figures(results["daemon"], memory)
        return
    started = time.monotonic()
    sizes, memory, libraries_memory_mb = asyncio.run(_measure())
    daemon = {
        "run_s": time.monotonic() - started,
        "libraries_mb": libraries_memory_mb,
        "load_average": os.getloadavg()[0],
        "sizes": sizes,
    }
    _save_figures(daemon, memory)


if __name__ == "__main__":
    main()
