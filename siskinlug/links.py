"""State of the links from this node to its peers, as measured by round trips."""

from collections.abc import Callable

# Weight of the newest round trip in the moving average.
_SMOOTHING = 0.2


class LinkState:
    """Results of round trips to one peer; times are in monotonic seconds."""

    def __init__(self) -> None:
        self.last_success_at: float | None = None
        self.last_failure_at: float | None = None
        self.failures_in_row = 0
        self.round_trip_s: float | None = None

    @property
    def up(self) -> bool | None:
        """Whether the last round trip succeeded, or None before the first one."""
        if self.last_success_at is None:
            return None if self.last_failure_at is None else False
        return self.failures_in_row == 0


class Links:
    """Link state by node.

    A message from a peer shows that only one direction works, so only completed
    round trips mark a link as up.

    Attributes:
        state_by_node: State of each link that was tried.
        last_success_at: Time of the last successful round trip to any node.
        down_nodes: Nodes whose last round trip failed.
    """

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.state_by_node: dict[str, LinkState] = {}
        self.last_success_at: float | None = None
        self.down_nodes: set[str] = set()

    def nodes_last_failed_before(self, before: float) -> list[str]:
        """Return unreachable nodes whose last failure is older than a time.

        Args:
            before: Time in monotonic seconds.

        Returns:
            The nodes, oldest failure first.
        """
        failures = (
            (self.state_by_node[node].last_failure_at or 0.0, node)
            for node in self.down_nodes
        )
        return [node for failed_at, node in sorted(failures) if failed_at < before]


def make_links(*, monotonic: Callable[[], float]) -> Links:
    """Build the state of links before any round trip."""
    return Links(monotonic=monotonic)


def record_success(links: Links, node: str, round_trip_s: float) -> bool:
    """Record a successful round trip, made by any module.

    Args:
        links: The links.
        node: The peer that responded.
        round_trip_s: Time from request to response, in seconds.

    Returns:
        Whether the link was down before.
    """
    state = links.state_by_node.setdefault(node, LinkState())
    was_down = state.up is False
    state.last_success_at = links.last_success_at = links.monotonic()
    state.failures_in_row = 0
    links.down_nodes.discard(node)
    if state.round_trip_s is None:
        state.round_trip_s = round_trip_s
    else:
        state.round_trip_s += _SMOOTHING * (round_trip_s - state.round_trip_s)
    return was_down


def record_failure(links: Links, node: str) -> bool:
    """Record a failed round trip.

    Returns:
        Whether the link was up or untried before.
    """
    state = links.state_by_node.setdefault(node, LinkState())
    was_down = state.up is False
    state.last_failure_at = links.monotonic()
    state.failures_in_row += 1
    links.down_nodes.add(node)
    return not was_down


def link_up(links: Links, node: str) -> bool | None:
    """Return whether the last round trip to a node succeeded, or None if untried."""
    state = links.state_by_node.get(node)
    return None if state is None else state.up


def forget_link(links: Links, node: str) -> None:
    """Remove the state of a link, as when the node was replaced."""
    links.state_by_node.pop(node, None)
    links.down_nodes.discard(node)
