"""The operators' two tables: routes, and the pools that they refer to by name."""

import re
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple, TypeVar

from returns.result import Failure, Result, Success

from siskinlug.ini import (
    REQUIRED,
    Fault,
    KeySpec,
    boolean,
    describe_parser,
    integer,
    locate_keys,
    matching,
    number,
    one_of,
    parse_ini_lenient,
    parse_section,
    words,
)

ANY = "*"
# Value of ``Route.path_match`` for paths that are compared as they were sent.
LITERAL = "literal"

# A bracket in the first column always begins a section, also after a value of several
# lines.
_SECTION_START = re.compile(r"^(?=\[)", re.MULTILINE)
_COMMENTS = re.compile(r"(?:[ \t]*(?:[#;].*)?\n)*")


class Route(NamedTuple):
    """One row of the routes table.

    Attributes:
        name: Section name, unique.
        host: Host name to match, without port; ``*`` matches any.
        path_prefix: Path prefix to match by whole segments, starting with ``/``. If it
            ends with ``/``, the path without that slash does not match.
        methods: Methods to match; empty matches any.
        pool: Name of the pool.
        timeout_s: Time within which a caller gets the first byte of the response, in
            seconds.
        work: ``short``, ``long`` or ``learned`` (from measured service times).
        idempotent: Whether a request may be run more than once.
        retries: Maximum number of attempts after the first.
        priority: 0 is served first, 9 last.
        account_header: Request header that names the client account.
        account_rate: Limit for one account at one entry, requests/s; 0 is no limit.
        claims_without_log: Treatment of requests with an idempotency key while the log
            is unavailable: ``refuse``, or keep claims in ``memory``.
        split: Weight by pool, in place of ``pool``; empty sends all to ``pool``.
        objective_s: Time within which a response is of full use to the caller, in
            seconds; 0 is the timeout.
        answer_timeout_s: Time within which a caller gets the whole response, in
            seconds; 0 is no limit.
        path_match: ``normalized``, or ``literal`` if the prefix must begin the path as
            it was sent.
    """

    name: str
    host: str
    path_prefix: str
    methods: tuple[str, ...]
    pool: str
    timeout_s: float = 10.0
    work: str = "learned"
    idempotent: bool = False
    retries: int = 2
    priority: int = 5
    account_header: str = "X-Account"
    account_rate: float = 0.0
    claims_without_log: str = "refuse"
    split: Mapping[str, float] = {}
    objective_s: float = 0.0
    answer_timeout_s: float = 0.0
    path_match: str = "normalized"


class Pool(NamedTuple):
    """One row of the pools table.

    Attributes:
        name: Section name, unique.
        service: Service that targets announce.
        failure_domains: Failure domains allowed; empty allows all.
        allowed_vms: VMs allowed; empty allows all.
        denied_vms: VMs denied, even if they are also allowed.
        slots: Maximum number of concurrent requests for each target; 0 is as the
            target announces.
        floor_slots: Healthy slots that ejection must leave in the pool.
        queue: Maximum number of requests that wait at each target.
        queue_wait_s: Maximum wait in a queue, in seconds.
        weight_by_domain: Weight by failure domain; 1 for a domain without an entry.
        waiting: ``short`` refuses requests while a queue persists; ``patient`` lets
            them wait for as long as they can still finish before their deadline.
    """

    name: str
    service: str
    failure_domains: tuple[str, ...] = ()
    allowed_vms: tuple[str, ...] = ()
    denied_vms: tuple[str, ...] = ()
    slots: int = 0
    floor_slots: int = 0
    queue: int = 32
    queue_wait_s: float = 2.0
    weight_by_domain: Mapping[str, float] = {}
    waiting: str = "short"


class Tables(NamedTuple):
    """Both tables and their versions; version 0 means that there is no table."""

    routes_version: int
    pools_version: int
    routes_by_name: Mapping[str, Route]
    pools_by_name: Mapping[str, Pool]

    @property
    def in_force(self) -> bool:
        """Whether both tables have a version, so that requests can be served."""
        return bool(self.routes_version and self.pools_version)


NO_TABLES = Tables(0, 0, {}, {})

# Route and pool names travel in headers between nodes and in metric labels.
_NAME = matching(r"[A-Za-z0-9._-]{1,64}", "a name of letters, digits, '.', '_', '-'")
_HOST = matching(
    r"\*|[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?",
    "'*' or a host name in lower case without port",
)
_PATH_PREFIX = matching(r"/[!-~]{0,4096}", "a path with '/' at its start")
# Dot segments and unnecessary escapes are removed before a path is matched, so a prefix
# that contains one could never match, except literally.
_NORMALIZED_PATH_PREFIX = matching(
    r"/|(?!.*/\.{1,2}(/|$))(/[A-Za-z0-9._~!$&'()*+,;=:@-]+){1,32}/?",
    "a path of plain segments with '/' at its start, unless path_match is literal",
)
_HEADER = matching(r"[A-Za-z][A-Za-z0-9-]{0,63}", "a header name")
_METHOD = matching(r"[A-Z]{1,16}", "a method in upper case")

RowT = TypeVar("RowT")


def _list_of(parse: Callable[[str], str]) -> Callable[[str], tuple[str, ...]]:
    """Return a parser for distinct words, each of which ``parse`` accepts."""

    def parse_all(text: str) -> tuple[str, ...]:
        values = tuple(parse(word) for word in words(text))
        if len(set(values)) < len(values):
            raise ValueError("a word is given twice")
        return values

    return describe_parser(
        parse_all, f"words, each {KeySpec(parse, '', '', '').accepts}"
    )


def _weights_by(
    kind: str, low: float, high: float
) -> Callable[[str], dict[str, float]]:
    """Return a parser for words of the form ``kind:weight``, as weights by name."""
    parse_weight = number(low, high)

    def parse(text: str) -> dict[str, float]:
        weight_by_name: dict[str, float] = {}
        for word in words(text):
            name, separator, weight = word.rpartition(":")
            if not separator:
                raise ValueError(f"{word!r} is not {kind}:weight")
            if _NAME(name) in weight_by_name:
                raise ValueError(f"{name} is given twice")
            weight_by_name[name] = parse_weight(weight)
        return weight_by_name

    return describe_parser(
        parse, f"words `{kind}:weight`, each weight {low:g} to {high:g}"
    )


_DOMAIN_WEIGHTS = _weights_by("domain", 0.01, 100)
_POOL_WEIGHTS = _weights_by("pool", 0, 1_000_000)

ROUTE_SPECS: Mapping[str, KeySpec] = {
    "host": KeySpec(_HOST, ANY, "", "Host to match without port; `*` is any."),
    "path_prefix": KeySpec(
        _PATH_PREFIX,
        "/",
        "",
        "Path to match together with all paths below it; with `/` at its end, only the "
        "paths below it.",
    ),
    "methods": KeySpec(
        _list_of(_METHOD),
        (),
        "",
        "Methods to match; empty is any that no other route of this path names.",
    ),
    "pool": KeySpec(_NAME, REQUIRED, "", "Pool that serves the route."),
    "timeout_s": KeySpec(
        number(0.05, 3600), 10.0, "s", "Time to the first byte of the answer."
    ),
    "work": KeySpec(
        one_of("short", "long", "learned"),
        "learned",
        "",
        "Kind of work; `learned` decides by measured service times.",
    ),
    "idempotent": KeySpec(
        boolean, False, "", "Whether a request may be run more than once."
    ),
    "retries": KeySpec(integer(0, 5), 2, "attempts", "Attempts after the first."),
    "priority": KeySpec(integer(0, 9), 5, "", "0 is served first, 9 last."),
    "account_header": KeySpec(
        _HEADER, "X-Account", "", "Request header that names the caller's account."
    ),
    "account_rate": KeySpec(
        number(0, 1_000_000),
        0.0,
        "requests/s",
        "Limit for one account at one entry; 0 is none.",
    ),
    "claims_without_log": KeySpec(
        one_of("refuse", "memory"),
        "refuse",
        "",
        "Treatment of requests with an Idempotency-Key while the log is unavailable.",
    ),
    "split": KeySpec(
        _POOL_WEIGHTS,
        {},
        "",
        "Weights as `pool:weight`, in place of `pool`; a pool keeps its share even "
        "while it is full.",
    ),
    "objective_s": KeySpec(
        number(0, 3600),
        0.0,
        "s",
        "Time within which an answer is of full use; 0 is the timeout.",
    ),
    "answer_timeout_s": KeySpec(
        number(0, 3600),
        0.0,
        "s",
        "Time to the end of the answer, after which one that is not complete is broken "
        "off; 0 is none.",
    ),
    "path_match": KeySpec(
        one_of("normalized", LITERAL),
        "normalized",
        "",
        "`normalized` decodes unnecessary escapes and removes dot segments before it "
        "compares a path with the prefix; `literal` compares it as it was sent.",
    ),
}

POOL_SPECS: Mapping[str, KeySpec] = {
    "service": KeySpec(_NAME, REQUIRED, "", "Service that targets announce."),
    "failure_domains": KeySpec(
        _list_of(_NAME), (), "", "Failure domains allowed; empty is all."
    ),
    "allowed_vms": KeySpec(_list_of(_NAME), (), "", "VMs allowed; empty is all."),
    "denied_vms": KeySpec(
        _list_of(_NAME), (), "", "VMs denied, even if they are also allowed."
    ),
    "slots": KeySpec(
        integer(0, 10_000),
        0,
        "requests",
        "Maximum concurrent requests at each target; 0 is as the target announces.",
    ),
    "floor_slots": KeySpec(
        integer(0, 1_000_000),
        0,
        "slots",
        "Healthy slots that ejection leaves in the pool.",
    ),
    "queue": KeySpec(
        integer(0, 10_000), 32, "requests", "Requests that may wait at each target."
    ),
    "queue_wait_s": KeySpec(
        number(0, 600), 2.0, "s", "Longest wait in a target's queue."
    ),
    "weight_by_domain": KeySpec(
        _DOMAIN_WEIGHTS, {}, "", "Weights as `domain:weight`; 1 for a domain not named."
    ),
    "waiting": KeySpec(
        one_of("short", "patient"),
        "short",
        "",
        "`short` refuses requests while a queue persists; `patient` lets them wait for "
        "as long as they can finish before their deadline.",
    ),
}


def parse_routes(
    text: str,
    *,
    file: str = "routes.ini",
    known_by_section: Mapping[str, Route] = MappingProxyType({}),
) -> Result[dict[str, Route], list[Fault]]:
    """Parse a routes table.

    Args:
        text: INI with one section for each route and the keys of ``ROUTE_SPECS``.
        file: File name for the faults.
        known_by_section: Routes of an earlier table by the text of their section, from
            ``routes_by_section``. Unchanged sections are not parsed again, so that the
            cost of a change depends on its size and not on that of the table.

    Returns:
        The routes by name, or every fault found in this table alone.
    """
    routes_by_name = _parse_changed_routes(text, file, known_by_section)
    faults: list[Fault] = []
    if routes_by_name is None:
        routes_by_name, faults = _parse_rows(text, ROUTE_SPECS, Route, file)
    faults += _find_unmatchable_prefixes(routes_by_name, file, text)
    faults += _find_duplicate_routes(routes_by_name, file, text)
    return Failure(faults) if faults else Success(routes_by_name)


def routes_by_section(
    text: str, routes_by_name: Mapping[str, Route]
) -> dict[str, Route]:
    """Return the routes of a table by the text of their section.

    Args:
        text: Text of a table without faults.
        routes_by_name: The routes of that table.
    """
    by_section = {}
    for section in _split_sections(text):
        route = routes_by_name.get(_section_name(section))
        if route is not None:
            by_section[section] = route
    return by_section


def _parse_changed_routes(
    text: str, file: str, known_by_section: Mapping[str, Route]
) -> dict[str, Route] | None:
    """Parse only the sections that are not known.

    Returns:
        The routes by name, or ``None`` if nothing is known or if the sections cannot be
        parsed separately without a fault.
    """
    if not known_by_section:
        return None
    sections = _split_sections(text)
    changed = [section for section in sections if section not in known_by_section]
    parsed_by_name, faults = _parse_rows("".join(changed), ROUTE_SPECS, Route, file)
    if faults or len(parsed_by_name) != len(changed):
        return None
    routes_by_name: dict[str, Route] = {}
    for section in sections:
        route = known_by_section.get(section) or parsed_by_name.get(
            _section_name(section)
        )
        if route is None or route.name in routes_by_name:
            return None
        routes_by_name[route.name] = route
    return routes_by_name


def _split_sections(text: str) -> list[str]:
    """Split a table into the texts of its sections, without leading comments."""
    parts = _SECTION_START.split(text)
    if _COMMENTS.fullmatch(parts[0]):
        del parts[0]
    return parts


def _section_name(section: str) -> str:
    return section[1 : section.find("]")]


def parse_pools(
    text: str, *, file: str = "pools.ini"
) -> Result[dict[str, Pool], list[Fault]]:
    """Parse a pools table.

    Args:
        text: INI with one section for each pool and the keys of ``POOL_SPECS``.
        file: File name for the faults.

    Returns:
        The pools by name, or every fault found in this table alone.
    """
    pools_by_name, faults = _parse_rows(text, POOL_SPECS, Pool, file)
    line_by_key = locate_keys(text)
    for pool in pools_by_name.values():
        faults += _check_pool(pool, file, line_by_key)
    return Failure(faults) if faults else Success(pools_by_name)


def check_tables(
    routes_by_name: Mapping[str, Route],
    pools_by_name: Mapping[str, Pool],
    *,
    file: str = "routes.ini",
    routes_text: str = "",
) -> list[Fault]:
    """Check that every pool named by a route exists.

    Args:
        routes_by_name: A routes table without faults of its own.
        pools_by_name: A pools table without faults of its own.
        file: File name of the routes table for the faults.
        routes_text: Text of the routes table, to find the line of each fault.

    Returns:
        A fault for each reference to a missing pool.
    """
    missing = [
        (route.name, key, pool)
        for route in routes_by_name.values()
        for key, pools in (("pool", (route.pool,)), ("split", route.split))
        for pool in pools
        if pool not in pools_by_name
    ]
    line_by_key = locate_keys(routes_text) if missing else {}
    return [
        Fault(
            file,
            line_by_key.get((name, key), 0),
            name,
            key,
            f"there is no pool {pool!r}",
        )
        for name, key, pool in missing
    ]


def parse_tables(
    routes_text: str,
    pools_text: str,
    *,
    routes_file: str = "routes.ini",
    pools_file: str = "pools.ini",
) -> Result[tuple[dict[str, Route], dict[str, Pool]], list[Fault]]:
    """Parse both tables and check them together.

    Args:
        routes_text: Text of the routes table.
        pools_text: Text of the pools table.
        routes_file: File name of the routes table for the faults.
        pools_file: File name of the pools table for the faults.

    Returns:
        Routes by name and pools by name, or every fault of both files, including
        references to missing pools. A pool that has faults does not count as missing.
    """
    routes = parse_routes(routes_text, file=routes_file)
    pools = parse_pools(pools_text, file=pools_file)
    faults = [
        fault
        for table in (routes, pools)
        if isinstance(table, Failure)
        for fault in table.failure()
    ]
    # Rows without faults are checked against the pools even if other rows have faults.
    routes_by_name, _ = _parse_rows(routes_text, ROUTE_SPECS, Route, routes_file)
    sections, _ = parse_ini_lenient(pools_text, file=pools_file)
    pools_by_name = pools.value_or({name: Pool(name, "") for name in sections})
    faults += check_tables(
        routes_by_name, pools_by_name, file=routes_file, routes_text=routes_text
    )
    return Failure(faults) if faults else Success((routes_by_name, pools_by_name))


def _parse_rows(
    text: str, specs: Mapping[str, KeySpec], row_type: Callable[..., RowT], file: str
) -> tuple[dict[str, RowT], list[Fault]]:
    """Return the rows without faults by name, and every fault of the text."""
    sections, faults = parse_ini_lenient(text, file=file)
    line_by_key = locate_keys(text)
    row_by_name: dict[str, RowT] = {}
    for name, text_by_key in sections.items():
        value_by_key: dict[str, Any]
        value_by_key, section_faults = parse_section(
            text_by_key, specs, file=file, section=name, line_by_key=line_by_key
        )
        try:
            _NAME(name)
        except ValueError as error:
            section_faults.append(
                Fault(file, line_by_key.get((name, ""), 0), name, "", str(error))
            )
        if not section_faults:
            row_by_name[name] = row_type(name=name, **value_by_key)
        faults += section_faults
    return row_by_name, faults


def _find_unmatchable_prefixes(
    routes_by_name: Mapping[str, Route], file: str, text: str
) -> Iterator[Fault]:
    """Yield a fault for each prefix that no normalized path can begin with."""
    for route in routes_by_name.values():
        if route.path_match == LITERAL:
            continue
        try:
            _NORMALIZED_PATH_PREFIX(route.path_prefix)
        except ValueError as error:
            line = locate_keys(text).get((route.name, "path_prefix"), 0)
            yield Fault(file, line, route.name, "path_prefix", str(error))


def _find_duplicate_routes(
    routes_by_name: Mapping[str, Route], file: str, text: str
) -> Iterator[Fault]:
    """Yield a fault for each route that matches the same requests as an earlier one."""
    name_by_match: dict[tuple[str, str, str, str], str] = {}
    line_by_key: Mapping[tuple[str, str], int] = {}
    for route in routes_by_name.values():
        for method in route.methods or (ANY,):
            match = (route.host, route.path_prefix, route.path_match, method)
            earlier = name_by_match.setdefault(match, route.name)
            if earlier == route.name:
                continue
            line_by_key = line_by_key or locate_keys(text)
            key = next(
                (k for k in ("path_prefix", "host") if (route.name, k) in line_by_key),
                "",
            )
            yield Fault(
                file,
                line_by_key.get((route.name, key), 0),
                route.name,
                key,
                f"matches {method} {route.host}{route.path_prefix} as does "
                f"[{earlier}] at line {line_by_key.get((earlier, ''), 0)}",
            )
            break


def _check_pool(
    pool: Pool, file: str, line_by_key: Mapping[tuple[str, str], int]
) -> Iterator[Fault]:
    """Yield a fault for each pair of keys that contradict each other."""

    def fault(key: str, problem: str) -> Fault:
        return Fault(
            file, line_by_key.get((pool.name, key), 0), pool.name, key, problem
        )

    if pool.allowed_vms and set(pool.allowed_vms) <= set(pool.denied_vms):
        yield fault("denied_vms", "denies every VM that allowed_vms allows")
    outside = set(pool.weight_by_domain) - set(pool.failure_domains)
    if pool.failure_domains and outside:
        named = ", ".join(sorted(outside))
        yield fault("weight_by_domain", f"{named} not in failure_domains")
