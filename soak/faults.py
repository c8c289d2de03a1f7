"""Faults of the soak: signals, troubles of the store and of targets, by a seed."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from random import Random

from siskinlug_platform.configuration import KEY, TOPIC
from standin.site import Site, configuration

from soak.checks import Fault

# Time after which the platform starts a process again.
RESTART_S = 0.4
STORE_TROUBLES = ("busy", "reset", "lost", "malformed")
TARGET_TROUBLES = ("fails", "sheds", "cuts", "loses")


class Chaos:
    """What the faults of one soak work on, and what they have done."""

    def __init__(self, site: Site, random: Random) -> None:
        self.site = site
        self.random = random
        self.faults: list[Fault] = []
        self.withdrawn_at_by_target: dict[str, float] = {}
        self.configured_at_by_path: dict[str, float] = {}
        self.busy_nodes: set[int] = set()
        self.version = 3

    def free_node(self) -> int | None:
        """Draw a node to which nothing is being done; two are always left alone."""
        free = [n for n in self.site.process_by_node if n not in self.busy_nodes]
        return self.random.choice(free) if len(free) > 2 else None


Inject = Callable[[Chaos], Awaitable[None]]


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _kill(chaos: Chaos) -> None:
    await _end(chaos, "kill", planned=False)


async def _stop(chaos: Chaos) -> None:
    await _end(chaos, "stop", planned=True)


async def _end(chaos: Chaos, kind: str, *, planned: bool) -> None:
    """End a node's process by a signal, and start it again."""
    node = chaos.free_node()
    if node is None:
        return
    chaos.busy_nodes.add(node)
    process, started_at = chaos.site.process_by_node[node], _now()
    if planned:
        process.terminate()
        await asyncio.to_thread(process.wait)
    else:
        await asyncio.to_thread(process.kill)
    ended_at = _now()
    await asyncio.sleep(RESTART_S)
    chaos.site.start_node(node)
    while await chaos.site.readiness_status(node) != 200:
        await asyncio.sleep(0.05)
    # A restart after a planned stop ends no request, but connections are refused.
    ended_at = ended_at if planned else _now()
    chaos.faults.append(Fault(kind, node, started_at, ended_at, planned))
    chaos.busy_nodes.discard(node)


async def _pause(chaos: Chaos) -> None:
    node = chaos.free_node()
    if node is None:
        return
    chaos.busy_nodes.add(node)
    process, started_at = chaos.site.process_by_node[node], _now()
    process.send(signal.SIGSTOP)
    await asyncio.sleep(chaos.random.uniform(0.3, 2.5))
    process.send(signal.SIGCONT)
    chaos.faults.append(Fault("pause", node, started_at, _now()))
    chaos.busy_nodes.discard(node)


async def _store(chaos: Chaos) -> None:
    started_at = _now()
    chaos.site.store.fault = chaos.random.choice(STORE_TROUBLES)
    await asyncio.sleep(chaos.random.uniform(0.5, 3.0))
    if chaos.random.random() < 0.3:
        chaos.site.store.drop_history(TOPIC)
    chaos.site.store.fault = ""
    chaos.faults.append(Fault("store", 0, started_at, _now()))


async def _target(chaos: Chaos) -> None:
    node = chaos.random.choice(list(chaos.site.target_by_node))
    target, started_at = chaos.site.target_by_node[node], _now()
    if chaos.random.random() < 0.25:
        target.unblocked.clear()
    else:
        target.fault = chaos.random.choice(TARGET_TROUBLES)
    await asyncio.sleep(chaos.random.uniform(0.3, 2.5))
    target.fault = ""
    target.unblocked.set()
    chaos.faults.append(Fault("target", node, started_at, _now()))


async def _replace(chaos: Chaos) -> None:
    """Let a target leave and come back as a new incarnation with another id."""
    node = chaos.random.choice(list(chaos.site.target_by_node))
    target = chaos.site.target_by_node[node]
    if target.withdrawn:
        return
    leaving = target.target_id
    if await target.withdraw(chaos.site.heartbeat_address(node)) != 200:
        target.withdrawn = False
        return
    started_at = _now()
    chaos.withdrawn_at_by_target[leaving] = started_at
    await asyncio.sleep(chaos.random.uniform(2.5, 4.0))
    target.target_id = f"{leaving.partition('.')[0]}.{chaos.random.randrange(10**6)}"
    target.born += 60_000
    target.sequence = 0
    target.withdrawn = False
    chaos.faults.append(Fault("replace", node, started_at, _now(), planned=True))


async def _configure(chaos: Chaos) -> None:
    chaos.version += chaos.random.randint(1, 3)
    path = f"/extra-{chaos.version}/"
    chaos.configured_at_by_path[path] = _now()
    chaos.site.store.put(TOPIC, KEY, configuration(chaos.version, extra=path))
    chaos.faults.append(Fault("configure", 0, _now(), _now(), planned=True))


INJECTIONS: tuple[tuple[Inject, float], ...] = (
    (_kill, 1.0),
    (_stop, 1.5),
    (_pause, 1.0),
    (_store, 1.0),
    (_target, 2.5),
    (_replace, 1.0),
    (_configure, 1.0),
)


async def inject_faults(chaos: Chaos, *, seconds: float, gap_s: float) -> None:
    """Start faults at random times, which may overlap, and wait for their ends."""
    injections, weights = zip(*INJECTIONS, strict=True)
    until = _now() + seconds
    async with asyncio.TaskGroup() as tasks:
        while _now() < until:
            inject = chaos.random.choices(injections, weights)[0]
            tasks.create_task(inject(chaos))
            await asyncio.sleep(chaos.random.expovariate(1 / gap_s))
