"""Seeded faults of the soak: signals to nodes, faults of the store and of targets."""

import asyncio
import math
import signal
from collections.abc import Awaitable, Callable
from random import Random

from siskinlug_platform.configuration import KEY, TOPIC
from standin.site import Site, configuration

from soak.checks import ENDED, Fault, NamedLimit

# Time after which the platform restarts a process.
RESTART_S = 0.4
STORE_FAULTS = ("busy", "reset", "lost", "malformed", "silent", "late")
# Share of returns from an older copy after which the operator writes a newer version.
NEWER_AFTER_RESTORE_SHARE = 0.5
# Share of faults of the store in which open reads never get a response.
SILENCED_SHARE = 0.2
# Share of replaced targets that say that they leave only in their responses.
SILENT_LEAVING_SHARE = 0.4
# Signals that may follow a SIGTERM, and how many at most.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGHUP)
MAX_STOP_SIGNALS = 4
# Share of starts soon after which the process gets a SIGHUP.
HANGUP_AT_START_SHARE = 0.3
MAX_HANGUPS = 5
# Share of the stops of a series after which the configuration changes.
CONFIGURATION_IN_SERIES_SHARE = 0.3
TARGET_FAULTS = (
    "fails",
    "sheds",
    "sheds twice",
    "copies refusals without id",
    "cuts",
    "loses",
    "repeats",
    "stops",
    "floods",
)
# Statuses of a target that fails. Some of them promise that it has not run the request.
FAILURE_STATUSES = (500, 500, 503, 429)
# Share of withdrawals after which a heartbeat from before arrives late.
LATE_HEARTBEAT_SHARE = 0.5


class FaultContext:
    """State that the faults of one soak share, and the record of what they did."""

    def __init__(
        self, site: Site, random: Random, *, planned_only: bool = False
    ) -> None:
        self.planned_only = planned_only
        self.site = site
        self.random = random
        self.faults: list[Fault] = []
        self.withdrawn_at_by_target: dict[str, float] = {}
        self.configured_at_by_path: dict[str, float] = {}
        self.limits: list[NamedLimit] = []
        self.said_leaving_at_by_target: dict[str, float] = {}
        self.nodes_under_fault: set[int] = set()
        self.targets_are_slow = False
        self.version = 3
        self.configuration = configuration(self.version)

    def nodes_to_disturb(self) -> list[int]:
        """Return the nodes without a running fault that may get one now.

        There are none if only two nodes run without a fault, so that at least two run
        undisturbed at all times.
        """
        free = [n for n in self.site.process_by_node if n not in self.nodes_under_fault]
        return free if len(free) > 2 else []

    def draw_undisturbed_node(self) -> int | None:
        """Draw a node that may get a fault now, ``None`` if there is none."""
        nodes = self.nodes_to_disturb()
        return self.random.choice(nodes) if nodes else None


Inject = Callable[[FaultContext], Awaitable[None]]


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _kill_node(context: FaultContext) -> None:
    node = context.draw_undisturbed_node()
    if node is not None:
        await _restart_process(context, node, "kill", planned=False)


async def _stop_node(context: FaultContext) -> None:
    node = context.draw_undisturbed_node()
    if node is not None:
        await _restart_process(context, node, "stop", planned=True)


async def _stop_nodes_in_series(context: FaultContext) -> None:
    """Stop several nodes shortly after each other, with a change of configuration."""
    async with asyncio.TaskGroup() as tasks:
        for _ in range(context.random.randint(2, 4)):
            tasks.create_task(_stop_node(context))
            await asyncio.sleep(context.random.uniform(0.0, 1.5))
            if context.random.random() < CONFIGURATION_IN_SERIES_SHARE:
                await _publish_configuration(context)


def _send_signal(context: FaultContext, node: int, number: signal.Signals) -> None:
    """Send a signal to the process of a node, whatever its state.

    SIGHUP is left out before the first line of the daemon has run.
    """
    process = context.site.process_by_node[node]
    if number is signal.SIGHUP and not process.handles_signal(number):
        return
    process.send_signal(number)
    context.faults.append(Fault(number.name, node, _now(), _now(), planned=True))


async def _hang_up(context: FaultContext) -> None:
    """Send a burst of SIGHUP to a node, which may be stopping, starting or paused."""
    node = context.random.choice(list(context.site.process_by_node))
    for _ in range(context.random.randint(1, MAX_HANGUPS)):
        _send_signal(context, node, signal.SIGHUP)
        await asyncio.sleep(context.random.choice((0.0, 0.02, 0.3)))


async def _stop_process(context: FaultContext, node: int) -> None:
    """Stop the process of a node, with more signals while it stops."""
    process = context.site.process_by_node[node]
    process.terminate()
    end = asyncio.create_task(asyncio.to_thread(process.wait))
    for _ in range(context.random.randint(0, MAX_STOP_SIGNALS)):
        await asyncio.wait({end}, timeout=context.random.choice((0.0, 0.1, 0.5, 1.5)))
        if end.done():
            break
        _send_signal(context, node, context.random.choice(STOP_SIGNALS))
    await end


async def _start_process(context: FaultContext, node: int) -> None:
    """Start the process of a node and wait until it is ready."""
    context.site.start_node(node)
    hang_up_at = math.inf
    if context.random.random() < HANGUP_AT_START_SHARE:
        hang_up_at = _now() + context.random.uniform(0.0, 1.0)
    while await context.site.readiness_status(node) != 200:
        await asyncio.sleep(0.05)
        if _now() > hang_up_at:
            _send_signal(context, node, signal.SIGHUP)
            hang_up_at = math.inf
        code = context.site.process_by_node[node].exit_code()
        if code is not None:
            kind = f"{ENDED}, code {code}"
            context.faults.append(Fault(kind, node, _now(), _now(), planned=True))
            context.site.start_node(node)


async def _restart_process(
    context: FaultContext, node: int, kind: str, *, planned: bool
) -> None:
    """Stop or kill the process of a node and start it again."""
    context.nodes_under_fault.add(node)
    process, started_at = context.site.process_by_node[node], _now()
    if planned:
        await _stop_process(context, node)
    else:
        await asyncio.to_thread(process.kill)
    ended_at = _now()
    await asyncio.sleep(RESTART_S)
    await _start_process(context, node)
    # During a restart after a planned stop connections are refused, but no request is
    # cut: the fault ends with the process.
    ended_at = ended_at if planned else _now()
    context.faults.append(Fault(kind, node, started_at, ended_at, planned))
    context.nodes_under_fault.discard(node)


async def _pause_node(context: FaultContext) -> None:
    node = context.draw_undisturbed_node()
    if node is None:
        return
    context.nodes_under_fault.add(node)
    process, started_at = context.site.process_by_node[node], _now()
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(context.random.uniform(0.3, 2.5))
    process.send_signal(signal.SIGCONT)
    context.faults.append(Fault("pause", node, started_at, _now()))
    context.nodes_under_fault.discard(node)


async def _disturb_store(context: FaultContext) -> None:
    started_at = _now()
    if context.random.random() < SILENCED_SHARE:
        context.site.store.silence_open_polls()
        context.faults.append(Fault("store", 0, started_at, _now()))
        return
    context.site.store.fault = context.random.choice(STORE_FAULTS)
    await asyncio.sleep(context.random.uniform(0.5, 3.0))
    if context.random.random() < 0.3:
        context.site.store.drop_history(TOPIC)
    context.site.store.fault = ""
    context.faults.append(Fault("store", 0, started_at, _now()))


async def _restore_store(context: FaultContext) -> None:
    """Bring the store back from a copy some seconds old, after a moment away."""
    store = context.site.store
    copy = store.copy()
    await asyncio.sleep(context.random.uniform(0.0, 6.0))
    started_at = _now()
    store.fault = "reset"
    await asyncio.sleep(context.random.uniform(0.2, 2.0))
    store.restore(copy)
    store.fault = ""
    # The operator writes again what it wrote, or a newer version in its place.
    await asyncio.sleep(context.random.choice((0.0, context.random.uniform(0.0, 1.0))))
    if context.random.random() < NEWER_AFTER_RESTORE_SHARE:
        await _publish_configuration(context)
    else:
        store.put(TOPIC, KEY, context.configuration)
    context.faults.append(Fault("restore", 0, started_at, _now()))


async def _disturb_target(context: FaultContext) -> None:
    node = context.random.choice(list(context.site.target_by_node))
    target, started_at = context.site.target_by_node[node], _now()
    if context.random.random() < 0.25:
        target.unblocked.clear()
    else:
        target.fault = context.random.choice(TARGET_FAULTS)
        target.failure_status = context.random.choice(FAILURE_STATUSES)
    await asyncio.sleep(context.random.uniform(0.3, 2.5))
    target.fault = ""
    target.unblocked.set()
    context.faults.append(Fault("target", node, started_at, _now()))


async def _disturb_all_targets(context: FaultContext) -> None:
    """Let all targets refuse a share of their requests, each refusal twice."""
    targets, started_at = context.site.target_by_node.values(), _now()
    for target in targets:
        target.fault = "sheds twice"
    await asyncio.sleep(context.random.uniform(1.0, 4.0))
    for target in targets:
        target.fault = ""
    context.faults.append(Fault("all targets", 0, started_at, _now()))


async def _slow_all_targets(context: FaultContext) -> None:
    """Let all targets take long for each request, so that requests queue for them."""
    if context.targets_are_slow:
        return
    context.targets_are_slow, started_at = True, _now()
    targets = context.site.target_by_node.values()
    usual_by_id = {id(target): target.service_time_s for target in targets}
    service_time_s = context.random.uniform(0.5, 2.0)
    for target in targets:
        target.service_time_s = service_time_s
    await asyncio.sleep(context.random.uniform(1.0, 3.0))
    for target in targets:
        target.service_time_s = usual_by_id[id(target)]
    context.targets_are_slow = False
    context.faults.append(Fault("slow", 0, started_at, _now(), planned=True))


async def _replace_target(context: FaultContext) -> None:
    """Withdraw a target and announce a new incarnation of it with another id."""
    node = context.random.choice(list(context.site.target_by_node))
    target = context.site.target_by_node[node]
    if target.withdrawn or target.says_leaving:
        return
    leaving = target.target_id
    if context.random.random() < SILENT_LEAVING_SHARE:
        # Its heartbeats go on, so that only its responses say that it leaves.
        started_at = context.said_leaving_at_by_target[leaving] = _now()
        target.says_leaving = True
        await asyncio.sleep(context.random.uniform(3.0, 6.0))
        target.says_leaving = False
        if target.withdrawn or target.target_id != leaving:
            return
    else:
        if await target.withdraw(context.site.heartbeat_address(node)) != 200:
            target.withdrawn = False
            return
        started_at = _now()
        context.withdrawn_at_by_target[leaving] = started_at
        await asyncio.sleep(context.random.uniform(0.2, 1.5))
        if context.random.random() < LATE_HEARTBEAT_SHARE:
            await _announce_late(context, node)
        await asyncio.sleep(context.random.uniform(2.0, 3.0))
    target.target_id = f"{leaving.partition('.')[0]}.{context.random.randrange(10**6)}"
    target.born += 60_000
    target.sequence = 0
    target.withdrawn = False
    context.faults.append(Fault("replace", node, started_at, _now(), planned=True))


async def _announce_late(context: FaultContext, node: int) -> None:
    """Let a heartbeat from before a withdrawal arrive, if possible after a kill."""
    if node in context.nodes_to_disturb() and not context.planned_only:
        await _restart_process(context, node, "kill", planned=False)
        await asyncio.sleep(context.random.uniform(1.5, 2.5))
    target = context.site.target_by_node[node]
    target.sequence -= 2
    await target.announce(context.site.heartbeat_address(node))


async def _limit_target(context: FaultContext) -> None:
    node = context.random.choice(list(context.site.target_by_node))
    target, started_at = context.site.target_by_node[node], _now()
    if target.limit_per_s:
        return
    per_s = round(context.random.uniform(0.5, 4.0), 1)
    name, target.limit_per_s = target.target_id, str(per_s)
    await asyncio.sleep(context.random.uniform(5.0, 9.0))
    target.limit_per_s = ""
    context.limits.append(NamedLimit(name, per_s, started_at, _now()))
    context.faults.append(Fault("limit", node, started_at, _now(), planned=True))


async def _publish_configuration(context: FaultContext) -> None:
    context.version += context.random.randint(1, 3)
    path = f"/extra-{context.version}/"
    context.configured_at_by_path[path] = _now()
    context.configuration = configuration(context.version, extra=path)
    context.site.store.put(TOPIC, KEY, context.configuration)
    context.faults.append(Fault("configure", 0, _now(), _now(), planned=True))


PLANNED_INJECTIONS: tuple[tuple[Inject, float], ...] = (
    (_stop_node, 1.5),
    (_stop_nodes_in_series, 0.7),
    (_hang_up, 1.5),
    (_slow_all_targets, 0.7),
    (_replace_target, 1.5),
    (_publish_configuration, 1.0),
)
INJECTIONS: tuple[tuple[Inject, float], ...] = (
    (_kill_node, 1.0),
    (_pause_node, 1.0),
    (_disturb_store, 1.0),
    (_restore_store, 0.7),
    (_disturb_target, 2.5),
    (_disturb_all_targets, 0.5),
    (_limit_target, 1.5),
    *PLANNED_INJECTIONS,
)


async def inject_faults(context: FaultContext, *, seconds: float, gap_s: float) -> None:
    """Start random faults, which may overlap, and wait until all have ended.

    Args:
        context: Shared state of the faults.
        seconds: Time in which faults start.
        gap_s: Mean time between the starts of two faults, in seconds.
    """
    weighted = PLANNED_INJECTIONS if context.planned_only else INJECTIONS
    injections, weights = zip(*weighted, strict=True)
    until = _now() + seconds
    async with asyncio.TaskGroup() as tasks:
        while _now() < until:
            inject = context.random.choices(injections, weights)[0]
            tasks.create_task(inject(context))
            await asyncio.sleep(context.random.expovariate(1 / gap_s))
