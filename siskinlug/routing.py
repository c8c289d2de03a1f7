"""Matching of requests to routes, by host, path and method."""

import re
from collections.abc import Mapping
from typing import NamedTuple

from siskinlug.tables import ANY, Route, Tables

# Tables whose index is kept: the ones in force and, during a change, their successors.
_INDEXES_KEPT = 4

_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_UNRESERVED = re.compile(r"[A-Za-z0-9._~-]")


class _HostIndex(NamedTuple):
    """Routes of one host by path prefix and method, and the longest prefix."""

    routes: dict[str, dict[str, Route]]
    longest: int


_Index = dict[str, _HostIndex]
# The mapping is held with its index, so that its id cannot be taken by another one.
_index_by_id: dict[int, tuple[Mapping[str, Route], _Index]] = {}


def match_route(tables: Tables, method: str, host: str, path: str) -> Route | None:
    """Return the route of a request.

    A route is a candidate if its host, path prefix and methods all match. An exact
    host goes before ``*``, then the longest path prefix, then a route that names the
    method before one that takes any.

    Args:
        tables: The tables in force; their routes must not be changed in place.
        method: Request method; methods are case-sensitive.
        host: Host header, with or without port.
        path: Request target; a query is ignored. Needless escapes are decoded and dot
            segments removed (RFC 3986, 6.2.2), so that they cannot avoid a route.

    Returns:
        The route, or ``None`` if no route matches.
    """
    index = _index_of(tables.routes_by_name)
    path = _normalize(path)
    for name in (_without_port(host), ANY):
        entry = index.get(name)
        if entry is not None:
            route = _longest_match(entry, method, path)
            if route is not None:
                return route
    return None


def _longest_match(entry: _HostIndex, method: str, path: str) -> Route | None:
    # A path may be far longer than any prefix; cutting it first bounds the work.
    if len(path) > entry.longest:
        path = path[: path.rfind("/", 0, entry.longest + 1)] or "/"
    while True:
        by_method = entry.routes.get(path)
        if by_method is not None:
            route = by_method.get(method) or by_method.get(ANY)
            if route is not None:
                return route
        if path == "/":
            return None
        path = path[: path.rfind("/")] or "/"


def _index_of(routes_by_name: Mapping[str, Route]) -> _Index:
    found = _index_by_id.get(id(routes_by_name))
    if found is not None:
        return found[1]
    index = _build_index(routes_by_name)
    while len(_index_by_id) >= _INDEXES_KEPT:
        del _index_by_id[next(iter(_index_by_id))]
    _index_by_id[id(routes_by_name)] = (routes_by_name, index)
    return index


def _build_index(routes_by_name: Mapping[str, Route]) -> _Index:
    by_host: dict[str, dict[str, dict[str, Route]]] = {}
    for route in routes_by_name.values():
        by_method = by_host.setdefault(route.host, {}).setdefault(route.path_prefix, {})
        by_method.update(dict.fromkeys(route.methods or (ANY,), route))
    return {
        host: _HostIndex(routes, max(map(len, routes)))
        for host, routes in by_host.items()
    }


def _without_port(host: str) -> str:
    host = host.lower()
    if host.startswith("["):
        return host[1:].partition("]")[0]
    return host.partition(":")[0].rstrip(".")


def _normalize(path: str) -> str:
    path = path.partition("?")[0].partition("#")[0]
    if "%" in path:
        path = _ESCAPE.sub(_decode_unreserved, path)
    if "/." in path:
        path = _remove_dot_segments(path)
    return path if path.startswith("/") else "/" + path


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
