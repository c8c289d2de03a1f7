"""``siskinlugd``: the daemon on each target VM."""

import argparse
import asyncio
import signal
import sys
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from functools import partial
from pathlib import Path

from absl import logging
from returns.result import Failure, Result

from siskinlug.logs import configure_logs, log_event
from siskinlug.node import Node, NodeOptions, make_node
from siskinlug.node_runtime import ExtraPort, PortError, open_node
from siskinlug.reloading import ReadSettings, watch_settings
from siskinlug.settings import Settings, load_settings
from siskinlug.stopping import drain_node

EXIT_OK = 0
EXIT_REQUESTS_CUT = 1
EXIT_BAD_SETTINGS = 2


def _parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="siskinlugd", description="Forward requests to the targets of a fleet."
    )
    parser.add_argument(
        "--config", type=Path, required=True, help="INI file with the settings"
    )
    return parser.parse_args(arguments)


@contextmanager
def _handle_signals(
    stop: asyncio.Event, stop_now: asyncio.Event, reload: asyncio.Event
) -> Iterator[None]:
    """Set events on signals inside the block.

    Args:
        stop: Set by the first SIGTERM or SIGINT. A repeated SIGTERM changes nothing:
            whoever sends it wants the stop that is already in progress.
        stop_now: Set by a SIGINT after that.
        reload: Set by SIGHUP.
    """
    loop = asyncio.get_running_loop()

    def on_stop_signal(number: signal.Signals) -> None:
        if not stop.is_set():
            stop.set()
            return
        log_event("stop_signal_repeated", signal=number.name)
        if number is signal.SIGINT:
            stop_now.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_stop_signal, number)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    try:
        yield
    finally:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.remove_signal_handler(number)


async def _wait_for_stop(node: Node, stop: asyncio.Event) -> None:
    """Wait for a stop signal, or until a newer process with this name replaces it."""
    waits = [
        asyncio.create_task(event.wait()) for event in (stop, node.membership.replaced)
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    if node.membership.replaced.is_set():
        log_event("replaced", write=logging.error, name=node.settings.name)


async def run_daemon(
    settings: Settings,
    *,
    path: Path,
    read: ReadSettings,
    options: NodeOptions | None = None,
    extra_ports: Callable[[Node], Sequence[ExtraPort]] = lambda _node: (),
) -> int:
    """Run a node until a signal stops it or a newer process replaces it.

    Args:
        settings: Checked settings.
        path: Settings file.
        read: Reads the settings again after SIGHUP or a change of the file.
        options: How the node integrates with its platform.
        extra_ports: From the node to ports in addition to those of the settings.

    Returns:
        ``EXIT_OK`` if all requests in flight finished, else ``EXIT_REQUESTS_CUT``.

    Raises:
        PortError: A port cannot be opened.
    """
    stop, stop_now, reload = asyncio.Event(), asyncio.Event(), asyncio.Event()
    node = make_node(settings, options=options)
    with _handle_signals(stop, stop_now, reload):
        async with open_node(node, extra_ports=extra_ports(node)):
            watch_task = asyncio.create_task(watch_settings(node, path, read, reload))
            await _wait_for_stop(node, stop)
            watch_task.cancel()
            stop_s = node.settings.limits.stop_s
            cut = await drain_node(node, timeout_s=stop_s, stop_now=stop_now)
            log_event("stopped", requests_cut=cut)
            return EXIT_REQUESTS_CUT if cut else EXIT_OK


def _read_settings(path: Path) -> Result[Settings, str]:
    return load_settings(path).alt(lambda faults: "; ".join(map(str, faults)))


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    options = _parse_arguments(arguments)
    loaded = load_settings(options.config)
    if isinstance(loaded, Failure):
        for fault in loaded.failure():
            print(f"siskinlugd: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = loaded.unwrap()
    configure_logs(node=settings.name, level=settings.level)
    try:
        read = partial(_read_settings, options.config)
        return asyncio.run(run_daemon(settings, path=options.config, read=read))
    except PortError as error:
        print(
            f"siskinlugd: {options.config}: [node] {error.key}: {error}",
            file=sys.stderr,
        )
        return EXIT_BAD_SETTINGS


if __name__ == "__main__":
    sys.exit(main())
