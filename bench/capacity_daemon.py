"""Daemon that also writes its peer traffic to a file, for ``capacity_fleet``.

``python -m bench.capacity_daemon --config FILE --traffic FILE``
"""

import argparse
import asyncio
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from siskinlug import daemon
from siskinlug.node import Node, make_node

WRITE_INTERVAL_S = 1.0


async def _write_traffic(node: Node, path: Path) -> None:
    while True:
        traffic = node.peer_client.traffic
        figures = {
            "sent": dict(traffic.sent_by_kind),
            "received": dict(traffic.received_by_kind),
        }
        # Write a new file and rename it, so that readers never see a partial file.
        new_path = path.with_suffix(".new")
        new_path.write_bytes(msgspec.json.encode(figures))
        new_path.replace(path)
        await asyncio.sleep(WRITE_INTERVAL_S)


def main() -> int:
    """Run the daemon and periodically write the bytes of its calls to peers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--config", type=Path, required=True)
    parser.add_argument("--traffic", type=Path, required=True)
    options = parser.parse_args()
    tasks: list[asyncio.Task[None]] = []

    def make_measured_node(*args: Any, **kwargs: Any) -> Node:
        node = make_node(*args, **kwargs)
        tasks.append(asyncio.create_task(_write_traffic(node, options.traffic)))
        return node

    daemon.make_node = make_measured_node
    with suppress(KeyboardInterrupt):
        return daemon.main(["--config", str(options.config)])
    return 0


if __name__ == "__main__":
    sys.exit(main())
