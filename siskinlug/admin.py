"""Read-only admin port: state and timeline as JSON, metrics for Prometheus."""

from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
from tornado.httputil import HTTPHeaders

from siskinlug.announcements import OwnedTargets
from siskinlug.candidates import TargetView, distance, find_candidates, is_pool_member
from siskinlug.clock import Timestamp
from siskinlug.directory import Directory, NodeRecord, TargetRecord
from siskinlug.inbound import InboundRequest, RequestHandler, send_answer
from siskinlug.metrics import export_metrics
from siskinlug.routing import match_route
from siskinlug.tables import Tables
from siskinlug.target_signals import SignalMemory
from siskinlug.timeline import Timeline

Page = Callable[[Mapping[str, str]], Any]


def make_admin_handler(page_by_path: Mapping[str, Page]) -> RequestHandler:
    """Build the handler of requests on the admin port.

    Args:
        page_by_path: Functions from query parameters to the JSON content of a page.
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
    """Build the page of all known nodes with their states and targets."""

    def page(_query: Mapping[str, str]) -> Any:
        return [
            node._asdict() | {"targets": [target._asdict() for target in node.targets]}
            for node in directory.record_by_node.values()
        ]

    return page


def targets_page(directory: Directory) -> Page:
    """Build the page of all targets with their owners."""

    def page(_query: Mapping[str, str]) -> Any:
        return [
            target._asdict()
            | {"node": node.node, "failure_domain": node.failure_domain}
            for node in directory.record_by_node.values()
            for target in node.targets
        ]

    return page


def tables_page(tables: Callable[[], Tables]) -> Page:
    """Build the page of the tables in force with their versions."""

    def page(_query: Mapping[str, str]) -> Any:
        in_force = tables()
        return {
            "routes_version": in_force.routes_version,
            "pools_version": in_force.pools_version,
            "routes": {n: r._asdict() for n, r in in_force.routes_by_name.items()},
            "pools": {n: p._asdict() for n, p in in_force.pools_by_name.items()},
        }

    return page


def timeline_page(timeline: Timeline) -> Page:
    """Build the page of events after the time ``since_ms`` and ``since_counter``."""

    def page(query: Mapping[str, str]) -> Any:
        since = Timestamp(
            int(query.get("since_ms", "0")), int(query.get("since_counter", "0"))
        )
        return [event._asdict() for event in timeline.events(since=since)]

    return page


def signals_page(targets: OwnedTargets, memory: SignalMemory) -> Page:
    """Build the page of targets that have named a limit or say that they are leaving.

    Args:
        targets: Targets of this node, whose limits it keeps.
        memory: What this node remembers of targets of other nodes.
    """

    def page(_query: Mapping[str, str]) -> Any:
        own = [
            {
                "target": name,
                "known_by": "owner",
                "leaving": owned.announcement["state"] == "leaving",
                "limit_per_s": owned.admission.rate_limit.per_s,
                "ready_in_s": round(owned.admission.rate_limit.ready_in_s(), 3),
            }
            for name, owned in targets.owned_by_target.items()
            if owned.admission.rate_limit.per_s is not None
            or owned.announcement["state"] == "leaving"
        ]
        remembered = [
            {
                "target": process[0],
                "known_by": "entry",
                "leaving": process in memory.leaving,
                "limit_per_s": memory.limit_by_target.get(process),
                "ready_in_s": None,
            }
            for process in memory.limit_by_target.keys() | memory.leaving.processes()
            if process[0] not in targets.owned_by_target
        ]
        return own + remembered

    return page


def explain_page(
    view: TargetView, tables: Callable[[], Tables], memory: SignalMemory
) -> Page:
    """Build the page that explains how this node would route a request.

    It lists the candidate targets, and the other targets with the reason why each one
    is left out.

    Args:
        view: What this node knows of all targets.
        tables: Returns the tables in force.
        memory: What this node remembers of targets from responses that it passed on.
    """

    def page(query: Mapping[str, str]) -> Any:
        method = query.get("method", "GET")
        url = urlsplit(query.get("url", "/"))
        in_force = tables()
        path = url.path + (f"?{url.query}" if url.query else "")
        route = match_route(in_force, method, url.netloc, path or "/")
        if route is None:
            return {"route": None, "why": "no route matches host, path and method"}
        pool = in_force.pools_by_name[route.pool]
        own = view.directory.own_record
        return {
            "route": route._asdict(),
            "pool": pool._asdict(),
            "candidates": [
                c._asdict()
                for c in find_candidates(view, route, pool)
                if c.process not in memory.leaving
            ],
            "left_out": [
                {"target": target.target, "node": node.node, "why": why}
                for node in view.directory.record_by_node.values()
                for target in node.targets
                if target.service == pool.service
                and (why := _why_left_out(pool, node, target, route.name, memory))
            ],
            "from": own.node,
            "distance_by_node": {
                node.node: distance(own, node) for node in view.directory.live_records()
            },
        }

    return page


def _why_left_out(
    pool: Any,
    node: NodeRecord,
    target: TargetRecord,
    route: str,
    memory: SignalMemory,
) -> str:
    if not is_pool_member(pool, node, target):
        return "VM or failure domain not in the pool"
    if node.state != "alive":
        return f"its node is {node.state}"
    if target.state != "ready":
        return f"it is {target.state}"
    if (target.target, target.incarnation) in memory.leaving:
        return "it has said that it is leaving"
    if "*" in target.ejected or route in target.ejected:
        return "it is ejected"
    return ""
