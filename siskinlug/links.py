"""State of the links from this node to its peers, from round trips alone."""

from collections.abc import Callable

# Weight of the newest round trip in the average.
_SMOOTHING = 0.2


class LinkState:
    """Round trips on the link to one peer; times are monotonic, in seconds."""

    def __init__(self) -> None:
        self.last_success: float | None = None
        self.last_failure: float | None = None
        self.failures_in_row = 0
        self.round_trip_s: float | None = None

    @property
    def up(self) -> bool | None:
        """Whether the last round trip succeeded, or None if none was tried."""
        if self.last_success is None:
            return None if self.last_failure is None else False
        return self.failures_in_row == 0


class Links:
    """Link state by node.

    What a peer sends proves only one direction, so it never makes a link count as
    up.
    """

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.state_by_node: dict[str, LinkState] = {}
        self.last_success: float | None = None
        self.down_nodes: set[str] = set()

    def nodes_last_failed_before(self, moment: float) -> list[str]:
        """Return the nodes whose last failure precedes a moment, oldest first."""
        failures = (
            (self.state_by_node[node].last_failure or 0.0, node)
            for node in self.down_nodes
        )
        return [node for failure, node in sorted(failures) if failure < moment]


def make_links(*, monotonic: Callable[[], float]) -> Links:
    """Build the state of links that have not been tried."""
    return Links(monotonic=monotonic)


def record_success(links: Links, node: str, round_trip_s: float) -> bool:
    """Note a successful round trip, of any module.

    Args:
        links: The links.
        node: The peer that answered.
        round_trip_s: Time from sending to the answer, in seconds.

    Returns:
        Whether the link was down before.
    """
    state = links.state_by_node.setdefault(node, LinkState())
    was_down = state.up is False
    state.last_success = links.last_success = links.monotonic()
    state.failures_in_row = 0
    links.down_nodes.discard(node)
    if state.round_trip_s is None:
        state.round_trip_s = round_trip_s
    else:
        state.round_trip_s += _SMOOTHING * (round_trip_s - state.round_trip_s)
    return was_down


def record_failure(links: Links, node: str) -> bool:
    """Note a round trip that failed.

    Returns:
        Whether the link was not down before.
    """
    state = links.state_by_node.setdefault(node, LinkState())
    was_down = state.up is False
    state.last_failure = links.monotonic()
    state.failures_in_row += 1
    links.down_nodes.add(node)
    return not was_down


def link_up(links: Links, node: str) -> bool | None:
    """Whether the last round trip to a node succeeded, or None if none was tried."""
    state = links.state_by_node.get(node)
    return None if state is None else state.up


def forget_link(links: Links, node: str) -> None:
    """Drop the state of a link, as when the node was replaced."""
    links.state_by_node.pop(node, None)
    links.down_nodes.discard(node)
