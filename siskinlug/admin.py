"""Read-only admin port: state, metrics and the timeline as JSON."""

from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
from tornado.httputil import HTTPHeaders

from siskinlug.candidates import TargetView, distance, find_candidates, is_pool_member
from siskinlug.clock import Timestamp
from siskinlug.directory import Directory, NodeRecord, TargetRecord
from siskinlug.inbound import InboundRequest, RequestHandler, send_answer
from siskinlug.metrics import export_metrics
from siskinlug.routing import match_route
from siskinlug.tables import Tables
from siskinlug.timeline import Timeline

Page = Callable[[Mapping[str, str]], Any]


def make_admin_app(page_by_path: Mapping[str, Page]) -> RequestHandler:
    """Build the function that serves the admin port.

    Args:
        page_by_path: Functions from query parameters to what is shown as JSON.
    """

    async def serve_admin(inbound: InboundRequest) -> None:
        url = urlsplit(inbound.head.path)
        if inbound.head.method not in ("GET", "HEAD"):
            await send_answer(inbound, 405, HTTPHeaders({"Allow": "GET, HEAD"}))
            return
        if url.path == "/metrics":
            headers = HTTPHeaders({"Content-Type": "text/plain; version=0.0.4"})
            await send_answer(inbound, 200, headers, export_metrics())
            return
        headers = HTTPHeaders({"Content-Type": "application/json"})
        page = page_by_path.get(url.path)
        if page is None:
            known = msgspec.json.encode({"pages": ["/metrics", *sorted(page_by_path)]})
            await send_answer(inbound, 200 if url.path == "/" else 404, headers, known)
            return
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        try:
            body = msgspec.json.encode(page(query))
        except ValueError as error:
            problem = msgspec.json.encode({"error": str(error)})
            await send_answer(inbound, 400, headers, problem)
            return
        await send_answer(inbound, 200, headers, body)

    return serve_admin


def nodes_page(directory: Directory) -> Page:
    """Show every known node with its state and targets."""

    def page(_query: Mapping[str, str]) -> Any:
        return [
            node._asdict() | {"targets": [target._asdict() for target in node.targets]}
            for node in directory.record_by_node.values()
        ]

    return page


def targets_page(directory: Directory) -> Page:
    """Show every target with its owner."""

    def page(_query: Mapping[str, str]) -> Any:
        return [
            target._asdict()
            | {"node": node.node, "failure_domain": node.failure_domain}
            for node in directory.record_by_node.values()
            for target in node.targets
        ]

    return page


def tables_page(tables: Callable[[], Tables]) -> Page:
    """Show the tables in force with their versions."""

    def page(_query: Mapping[str, str]) -> Any:
        held = tables()
        return {
            "routes_version": held.routes_version,
            "pools_version": held.pools_version,
            "routes": {n: r._asdict() for n, r in held.routes_by_name.items()},
            "pools": {n: p._asdict() for n, p in held.pools_by_name.items()},
        }

    return page


def timeline_page(timeline: Timeline) -> Page:
    """Show events after ``since_ms`` and ``since_counter``."""

    def page(query: Mapping[str, str]) -> Any:
        since = Timestamp(
            int(query.get("since_ms", "0")), int(query.get("since_counter", "0"))
        )
        return [event._asdict() for event in timeline.events(since=since)]

    return page


def explain_page(view: TargetView, tables: Callable[[], Tables]) -> Page:
    """Show where a request would go from this node, and why."""

    def page(query: Mapping[str, str]) -> Any:
        method = query.get("method", "GET")
        url = urlsplit(query.get("url", "/"))
        held = tables()
        path = url.path + (f"?{url.query}" if url.query else "")
        route = match_route(held, method, url.netloc, path or "/")
        if route is None:
            return {"route": None, "why": "no route matches host, path and method"}
        pool = held.pools_by_name[route.pool]
        own = view.directory.own_record
        return {
            "route": route._asdict(),
            "pool": pool._asdict(),
            "candidates": [c._asdict() for c in find_candidates(view, route, pool)],
            "left_out": [
                {"target": target.target, "node": node.node, "why": why}
                for node in view.directory.record_by_node.values()
                for target in node.targets
                if target.service == pool.service
                and (why := _why_left_out(pool, node, target, route.name))
            ],
            "from": own.node,
            "distance_by_node": {
                node.node: distance(own, node) for node in view.directory.live_records()
            },
        }

    return page


def _why_left_out(pool: Any, node: NodeRecord, target: TargetRecord, route: str) -> str:
    if not is_pool_member(pool, node, target):
        return "VM or failure domain not in the pool"
    if node.state != "alive":
        return f"its node is {node.state}"
    if target.state != "ready":
        return f"it is {target.state}"
    if "*" in target.ejected or route in target.ejected:
        return "it is ejected"
    return ""
