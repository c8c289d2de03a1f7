"""Match requests to routes by host, path and method."""

import re
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from siskinlug.tables import ANY, LITERAL, Route, Tables

# Indexes are kept for the tables in force and, during a change, for their successors.
_MAX_INDEXES = 4

_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_UNRESERVED = re.compile(r"[A-Za-z0-9._~-]")


class _PrefixRoutes(NamedTuple):
    """Routes of one host whose paths are matched in the same way.

    Attributes:
        routes_by_prefix: By path prefix, the routes by method.
        max_prefix_chars: Length of the longest prefix.
    """

    routes_by_prefix: dict[str, dict[str, Route]]
    max_prefix_chars: int


# Routes by host and by whether their paths are matched literally.
_RouteIndex = dict[tuple[str, bool], _PrefixRoutes]
# Each index keeps its mapping alive, so that the id cannot be reused for another one.
_index_by_id: dict[int, tuple[Mapping[str, Route], _RouteIndex]] = {}


def match_route(tables: Tables, method: str, host: str, path: str) -> Route | None:
    """Return the route of a request.

    A route matches if its host, path prefix and methods all match. A prefix that ends
    with a slash matches the paths below it; one without also matches itself. Among
    several routes, an
    exact host wins over ``*``, then the longest path prefix wins, then a route that
    names the method wins over one for any method.

    Args:
        tables: The tables in force; their routes must not be changed in place.
        method: Request method; methods are case-sensitive.
        host: Host header, with or without port.
        path: Request target; a query is ignored. Unless a route matches literally,
            unnecessary escapes are decoded and dot segments removed (RFC 3986, 6.2.2),
            so that they cannot be used to evade it.

    Returns:
        The route, or ``None`` if no route matches.
    """
    index = _cached_index(tables.routes_by_name)
    path = _without_query(path)
    normalized = _normalize(path)
    for name in (_without_port(host), ANY):
        matches = [
            route
            for literal, spelling in ((True, path), (False, normalized))
            if (routes := index.get((name, literal))) is not None
            and (route := _longest_match(routes, method, spelling)) is not None
        ]
        if matches:
            return max(matches, key=lambda route: len(route.path_prefix))
    return None


def _longest_match(routes: _PrefixRoutes, method: str, path: str) -> Route | None:
    for prefix in _prefixes(path, routes.max_prefix_chars):
        by_method = routes.routes_by_prefix.get(prefix)
        if by_method is not None:
            route = by_method.get(method) or by_method.get(ANY)
            if route is not None:
                return route
    return None


def _prefixes(path: str, max_chars: int) -> Iterator[str]:
    """Yield the path and its prefixes that end before or after a slash, longest first.

    Args:
        path: A path that starts with a slash.
        max_chars: Length of the longest prefix of interest. A path may be far longer;
            starting there limits the work.
    """
    if len(path) <= max_chars:
        yield path
    slash = path.rfind("/", 0, max_chars + 1)
    while slash > 0:
        yield path[: slash + 1]
        yield path[:slash]
        slash = path.rfind("/", 0, slash)
    yield "/"


def _cached_index(routes_by_name: Mapping[str, Route]) -> _RouteIndex:
    cached = _index_by_id.get(id(routes_by_name))
    if cached is not None:
        return cached[1]
    index = _build_index(routes_by_name)
    while len(_index_by_id) >= _MAX_INDEXES:
        del _index_by_id[next(iter(_index_by_id))]
    _index_by_id[id(routes_by_name)] = (routes_by_name, index)
    return index


def _build_index(routes_by_name: Mapping[str, Route]) -> _RouteIndex:
    prefixes_by_key: dict[tuple[str, bool], dict[str, dict[str, Route]]] = {}
    for route in routes_by_name.values():
        key = (route.host, route.path_match == LITERAL)
        by_method = prefixes_by_key.setdefault(key, {}).setdefault(
            route.path_prefix, {}
        )
        by_method.update(dict.fromkeys(route.methods or (ANY,), route))
    return {
        key: _PrefixRoutes(routes_by_prefix, max(map(len, routes_by_prefix)))
        for key, routes_by_prefix in prefixes_by_key.items()
    }


def _without_port(host: str) -> str:
    host = host.lower()
    if host.startswith("["):
        return host[1:].partition("]")[0]
    return host.partition(":")[0].rstrip(".")


def _without_query(path: str) -> str:
    path = path.partition("?")[0].partition("#")[0]
    return path if path.startswith("/") else "/" + path


def _normalize(path: str) -> str:
    if "%" in path:
        path = _ESCAPE.sub(_decode_unreserved, path)
    return _remove_dot_segments(path) if "/." in path else path


def _decode_unreserved(escape: re.Match[str]) -> str:
    character = chr(int(escape[1], 16))
    return character if _UNRESERVED.fullmatch(character) else escape[0]


def _remove_dot_segments(path: str) -> str:
    kept: list[str] = []
    for segment in path.split("/")[1:]:
        if segment == "..":
            del kept[-1:]
        elif segment != ".":
            kept.append(segment)
    return "/" + "/".join(kept)
