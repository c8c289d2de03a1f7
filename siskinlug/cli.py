"""The ``siskinlug`` command line for operators."""

import asyncio
import enum
import getpass
import json
import secrets
import time
from collections.abc import Coroutine, Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any, NoReturn
from urllib.parse import urlencode

import typer
from returns.result import Failure, Success
from rich.console import Console
from rich.markup import escape
from rich.table import Table
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from siskinlug.config_sync import CatchUpResult, catch_up
from siskinlug.configuration import EMPTY_STATE, find_accepted_change
from siskinlug.ini import Fault
from siskinlug.log_client import Log, open_log
from siskinlug.publishing import LOG_TRIMMED, Outcome, publish, settle, start_over
from siskinlug.tables import Pool, Route, parse_pools, parse_routes, parse_tables

ADMIN_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.2
# Concurrent requests to admin ports while waiting for all nodes of a fleet.
MAX_CONCURRENT_REQUESTS = 40
# Longer cells would push identifying columns out of a narrow terminal.
MAX_CELL_CHARS = 48


class ExitCode(enum.IntEnum):
    """Exit codes of the commands; Typer exits with 2 on a usage error."""

    DONE = 0
    DIFFERENT = 1
    INVALID = 3
    CONFLICT = 4
    UNKNOWN = 5
    UNREACHABLE = 6
    NOT_IN_FORCE = 7
    CANCELLED = 8


class TableName(enum.StrEnum):
    """The two tables."""

    ROUTES = "routes"
    POOLS = "pools"


class AdminPage(enum.StrEnum):
    """Admin pages of a node that ``show`` can print."""

    NODES = "nodes"
    TARGETS = "targets"
    TABLES = "tables"
    SIGNALS = "signals"
    CONFIGURATION = "configuration"


app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode="markdown",
    help="""Check, publish and inspect the routes and pools of a siskinlug fleet.

The **routes** table says which pool serves a request, the **pools** table which VMs
may serve it. Both are INI files with one section per row, kept in version control. A
typical change:

    siskinlug check routes.ini pools.ini

    siskinlug diff routes routes.ini

    siskinlug publish routes routes.ini --note "open the autumn season"

A new fleet needs its pools before its routes. `--log` and `--node` can be given as
SISKINLUG_LOG and SISKINLUG_NODE.

Exit codes: 0 done, 1 tables differ, 2 usage, 3 invalid table, 4 another change came
first, 5 outcome unknown, 6 log or node unreachable, 7 accepted but not yet in force
everywhere, 8 cancelled.""",
)
console = Console()
error_console = Console(stderr=True)

LogOption = Annotated[
    str, typer.Option("--log", envvar="SISKINLUG_LOG", help="Address of the log.")
]
NodeOption = Annotated[
    str,
    typer.Option(
        "--node",
        envvar="SISKINLUG_NODE",
        help="Admin address of any node, such as http://10.0.0.1:9090.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
OperatorOption = Annotated[
    str, typer.Option(help="Your name in the history; the login name by default.")
]
FileArgument = Annotated[
    Path,
    typer.Argument(
        exists=True, dir_okay=False, readable=True, help="INI file of the table."
    ),
]


@app.command()
def check(
    routes: FileArgument,
    pools: FileArgument,
    as_json: JsonOption = False,
) -> None:
    """Check both table files, and that every pool named by a route exists.

    Lists all faults at once with file, line, section and key. Needs neither the log nor
    a node, so it can run in a commit hook: `siskinlug check routes.ini pools.ini`
    """
    parsed = parse_tables(
        _read_file(routes),
        _read_file(pools),
        routes_file=str(routes),
        pools_file=str(pools),
    )
    faults = parsed.failure() if isinstance(parsed, Failure) else []
    if as_json:
        _print_json({"faults": [fault._asdict() for fault in faults]})
    elif faults:
        _print_faults(faults)
    else:
        routes_by_name, pools_by_name = parsed.unwrap()
        console.print(f"{len(routes_by_name)} routes, {len(pools_by_name)} pools: good")
    raise typer.Exit(ExitCode.INVALID if faults else ExitCode.DONE)


@app.command()
def diff(
    table: TableName, file: FileArgument, log: LogOption, as_json: JsonOption = False
) -> None:
    """Show the changes that publishing a file would make, row by row.

    Exits with 0 if there are no changes and with 1 if there are some.
    """
    current = _run(_read_configuration(log)).state
    changes = _diff_rows(table, current.text(table), _read_file(file), str(file))
    if as_json:
        _print_json({"version": current.version(table), "changes": changes})
    else:
        _print_diff(table, current.version(table), changes)
    raise typer.Exit(ExitCode.DIFFERENT if changes else ExitCode.DONE)


@app.command("publish")
def publish_table(
    table: TableName,
    file: FileArgument,
    log: LogOption,
    base: Annotated[
        int | None,
        typer.Option(
            help="Version that the file is based on. Without it, the differences from "
            "the version in force are shown, and that version is the base if you "
            "confirm."
        ),
    ] = None,
    note: Annotated[str, typer.Option(help="Why, for the history.")] = "",
    operator: OperatorOption = "",
    change: Annotated[
        str,
        typer.Option("--id", help="Id of the change; an id is published only once."),
    ] = "",
    yes: Annotated[
        bool, typer.Option("--yes", help="Publish without a confirmation.")
    ] = False,
    node: Annotated[
        str,
        typer.Option(
            envvar="SISKINLUG_NODE",
            help="Admin address of any node; if given, the command waits until the "
            "change is in force on every node.",
        ),
    ] = "",
    wait: Annotated[
        float, typer.Option(help="Maximum wait with --node, in seconds.")
    ] = 10.0,
    as_json: JsonOption = False,
) -> None:
    """Publish a table.

    There are three outcomes. **accepted**: the file is the next version. **refused**:
    it will never be in force; if another change came first, that change is named, and
    `diff` shows what to merge. **unknown**: the log failed before it confirmed the
    change; the command that settles it is printed.

    Example: `siskinlug publish pools pools.ini --base 7 --note "vm12 back" --wait 20`
    """
    text = _read_file(file)
    if base is None:
        base = _confirm_base(log, table, text, str(file), yes=yes, quiet=as_json)
    outcome = _run(
        _with_log(
            log,
            lambda opened: publish(
                opened,
                table.value,
                text,
                change=change or _new_change_id(),
                base=base,
                operator=operator or getpass.getuser(),
                note=note,
            ),
        )
    )
    not_in_force_on: list[str] = []
    if outcome.kind == "accepted" and node:
        not_in_force_on = _run(_wait_until_in_force(node, outcome, wait))
    _report_and_exit(outcome, not_in_force_on, as_json=as_json)


@app.command("settle")
def settle_change(
    table: TableName,
    change: Annotated[str, typer.Argument(help="Id that publish printed.")],
    log: LogOption,
    base: Annotated[int, typer.Option(help="Version that publish printed.")],
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Settle a publish whose outcome is unknown: find it, or cancel it for good.

    After a cancel the change stays out of force even if it still reaches the log.
    """
    outcome = _run(
        _with_log(
            log,
            lambda opened: settle(
                opened,
                table.value,
                change,
                base=base,
                operator=operator or getpass.getuser(),
            ),
        )
    )
    _report_and_exit(outcome, [], as_json=as_json)


@app.command("start-over")
def start_over_tables(
    routes: FileArgument,
    pools: FileArgument,
    log: LogOption,
    note: Annotated[str, typer.Option(help="Why, for the history.")] = "",
    operator: OperatorOption = "",
    change: Annotated[
        str,
        typer.Option("--id", help="Id of the change; an id is published only once."),
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """Publish both tables when the log has lost the configuration.

    The log loses the configuration if no node runs for longer than it retains records.
    The command is refused while the configuration can still be read from the log.
    """
    texts = _read_file(routes), _read_file(pools)
    outcome = _run(
        _with_log(
            log,
            lambda opened: start_over(
                opened,
                *texts,
                change=change or _new_change_id(),
                operator=operator or getpass.getuser(),
                note=note,
            ),
        )
    )
    _report_and_exit(outcome, [], as_json=as_json)


@app.command()
def history(
    log: LogOption,
    table: Annotated[TableName | None, typer.Option(help="Only this table.")] = None,
    limit: Annotated[int, typer.Option(min=1, help="Newest changes shown.")] = 20,
    as_json: JsonOption = False,
) -> None:
    """Show the last changes, accepted and refused, newest first."""
    state = _run(_read_configuration(log)).state
    changes = [c for c in reversed(state.changes) if table in (None, c.table)][:limit]
    if as_json:
        _print_json([c._asdict() for c in changes])
        return
    grid = Table("when", "table", "version", "operator", "change", "note or problem")
    for c in changes:
        when = datetime.fromtimestamp(c.at_ms / 1000, UTC).isoformat(" ", "seconds")
        version = str(c.version) if c.version else f"[red]{c.cause}[/red]"
        cells = map(escape, (c.operator, c.change, c.problem or c.note))
        grid.add_row(when, c.table, version, *cells)
    console.print(grid)


@app.command()
def show(page: AdminPage, node: NodeOption, as_json: JsonOption = False) -> None:
    """Show one of the pages of a node: its state, or the fleet as it knows it."""
    content = _run(_fetch_from_node(node, f"/{page.value}"))
    if as_json:
        _print_json(content)
    elif page is AdminPage.TABLES:
        for table in TableName:
            version = content[f"{table}_version"]
            rows = [row | {"name": name} for name, row in content[table].items()]
            _print_rows(f"{table}, version {version}", rows)
    elif page is AdminPage.CONFIGURATION:
        _print_rows("changes", content.pop("changes"))
        _print_rows("position, and when its source last answered", [content])
    else:
        _print_rows(page.value, content)


@app.command()
def explain(
    method: Annotated[str, typer.Argument(help="Request method, such as GET.")],
    url: Annotated[str, typer.Argument(help="Such as http://hire.example/orders/7.")],
    node: NodeOption,
    as_json: JsonOption = False,
) -> None:
    """Explain where one node would send a request, and why.

    Example: `siskinlug explain GET http://hire.example/availability?size=40`
    """
    query = urlencode({"method": method, "url": url})
    explanation = _run(_fetch_from_node(node, f"/explain?{query}"))
    if as_json:
        _print_json(explanation)
        return
    route = explanation["route"]
    if route is None:
        console.print(f"no route: {explanation['why']}")
        return
    console.print(f"route [bold]{route['name']}[/bold], pool {route['pool']}")
    _print_rows("candidates", explanation["candidates"])
    _print_rows("left out", explanation["left_out"])


@app.command()
def timeline(
    node: NodeOption,
    kind: Annotated[
        list[str] | None, typer.Option(help="Kind of event, or a prefix; repeatable.")
    ] = None,
    only: Annotated[
        list[str] | None, typer.Option(help="Process to show; repeatable.")
    ] = None,
    subject: Annotated[str, typer.Option(help="Text that the subject contains.")] = "",
    last: Annotated[
        float | None, typer.Option(help="Only the last S seconds.", metavar="S")
    ] = None,
    follow: Annotated[bool, typer.Option(help="Continue until interrupted.")] = False,
    picture: Annotated[
        Path | None, typer.Option(help="Write an SVG or PNG, one lane per process.")
    ] = None,
) -> None:
    """Show the events of all nodes, merged in causal order.

    Example: `siskinlug timeline --kind target_ --last 60`
    """
    # Imported late because it loads matplotlib, which no other command needs.
    from siskinlug.timeline_view import run_timeline

    status = run_timeline(
        [node.removeprefix("http://").rstrip("/")],
        kinds=kind or (),
        nodes=only or (),
        subject=subject,
        last_s=last,
        discover=True,
        follow=follow,
        picture=picture,
    )
    raise typer.Exit(status)


def main() -> None:
    """Run the command line."""
    app()


def _report_and_exit(
    outcome: Outcome, not_in_force_on: Sequence[str], *, as_json: bool
) -> NoReturn:
    """Print an outcome and exit with its code."""
    if as_json:
        _print_json(outcome._asdict() | {"not_in_force_on": list(not_in_force_on)})
    elif outcome.kind == "accepted":
        console.print(f"accepted: {outcome.table} is at version {outcome.version}")
        if not_in_force_on:
            error_console.print(
                f"not in force on {', '.join(not_in_force_on)}", markup=False
            )
    elif outcome.kind == "refused":
        error_console.print(f"refused: {outcome.detail}", markup=False)
        if outcome.cause == "conflict":
            error_console.print(
                f"see what to merge: siskinlug diff {outcome.table} FILE"
            )
    else:
        error_console.print(f"unknown: {outcome.detail}", markup=False)
        error_console.print(f"settle it with: {outcome.settle}", markup=False)
    if outcome.kind == "accepted":
        raise typer.Exit(ExitCode.NOT_IN_FORCE if not_in_force_on else ExitCode.DONE)
    if outcome.kind == "unknown":
        raise typer.Exit(ExitCode.UNKNOWN)
    raise typer.Exit(
        {
            "invalid": ExitCode.INVALID,
            "conflict": ExitCode.CONFLICT,
            "cancelled": ExitCode.CANCELLED,
        }.get(outcome.cause, ExitCode.UNREACHABLE)
    )


def _confirm_base(
    log: str, table: TableName, text: str, file: str, *, yes: bool, quiet: bool
) -> int:
    """Show the changes that a file would make, and ask for confirmation.

    Args:
        log: Address of the log.
        table: Table to publish.
        text: New text of the table.
        file: File name for the faults.
        yes: Whether to skip the question.
        quiet: Whether to skip the changes.

    Returns:
        The version in force.

    Raises:
        typer.Exit: The operator declined, or the log or a table cannot be read.
    """
    current = _run(_read_configuration(log)).state
    changes = _diff_rows(table, current.text(table), text, file)
    version = current.version(table)
    if not quiet:
        _print_diff(table, version, changes)
        last = find_accepted_change(current, table, version)
        if last is not None:
            published_by = (
                f"version {version} is by {last.operator}, change {last.change}"
            )
            console.print(published_by, markup=False)
    if not yes and not typer.confirm("Publish?", err=True):
        raise typer.Exit(ExitCode.CANCELLED)
    return version


def _diff_rows(
    table: TableName, current_text: str, text: str, file: str
) -> list[dict[str, Any]]:
    """Return the rows that differ, each with the keys that differ."""
    current = _parse_rows(table, current_text, "in force")
    new = _parse_rows(table, text, file)
    changes: list[dict[str, Any]] = []
    for name in sorted(current.keys() | new.keys()):
        before, after = current.get(name, {}), new.get(name, {})
        keys = [
            {"key": k, "before": before.get(k), "after": after.get(k)}
            for k in before | after
            if k != "name" and before.get(k) != after.get(k)
        ]
        if keys:
            kind = "changed" if before and after else "added" if after else "removed"
            changes.append({"row": name, "change": kind, "keys": keys})
    return changes


def _parse_rows(table: TableName, text: str, file: str) -> dict[str, dict[str, Any]]:
    """Return the rows of a table by name; print its faults and exit if it has any."""
    parse = parse_routes if table is TableName.ROUTES else parse_pools
    parsed = parse(text, file=file)
    if isinstance(parsed, Failure):
        _print_faults(parsed.failure())
        raise typer.Exit(ExitCode.INVALID)
    row_by_name: dict[str, Route] | dict[str, Pool] = parsed.unwrap()
    return {name: row._asdict() for name, row in row_by_name.items()}


def _print_diff(
    table: TableName, version: int, changes: Sequence[dict[str, Any]]
) -> None:
    if not changes:
        console.print(f"no difference to {table} version {version}")
        return
    grid = Table("row", "key", f"version {version}", "file", title=table.value)
    for change in changes:
        style = {"added": "green", "removed": "red"}.get(change["change"], "")
        for key in change["keys"]:
            cells = (
                change["row"],
                key["key"],
                _format_cell(key["before"]),
                _format_cell(key["after"]),
            )
            grid.add_row(*cells, style=style)
    console.print(grid)


def _print_rows(title: str, rows: Sequence[dict[str, Any]]) -> None:
    keys = list(dict.fromkeys(key for row in rows for key in row))
    # Identifying columns come first.
    keys.sort(key=lambda key: key not in ("name", "node", "target"))
    grid = Table(*keys, title=f"{title}: {len(rows)}")
    for row in rows:
        grid.add_row(*(_format_cell(row.get(key)) for key in keys))
    console.print(grid)


def _format_cell(value: Any) -> str:
    """Return a value as one short text, and a list of nested values as its length.

    ``--json`` prints every value in full.
    """
    if value is None or value == [] or value == ():
        return ""
    if isinstance(value, list | tuple) and not isinstance(value[0], str):
        return f"{len(value)}"
    if isinstance(value, list | tuple):
        value = " ".join(map(str, value))
    text = str(value)
    if len(text) > MAX_CELL_CHARS:
        text = text[: MAX_CELL_CHARS - 1] + "…"
    return escape(text)


def _print_faults(faults: Sequence[Fault]) -> None:
    for fault in faults:
        error_console.print(str(fault), markup=False, highlight=False, soft_wrap=True)


def _print_json(value: Any) -> None:
    print(json.dumps(value, indent=2))


def _read_file(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        error_console.print(f"{file} cannot be read: {error}", markup=False)
        raise typer.Exit(ExitCode.INVALID) from None


def _new_change_id() -> str:
    """Return a new id, unique by time and random digits."""
    return f"{int(time.time()):x}-{secrets.token_hex(4)}"


def _run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    return asyncio.run(coroutine)


async def _with_log(url: str, use: Any) -> Any:
    """Open the log, await ``use(log)``, and close the log again."""
    log = open_log(url)
    try:
        return await use(log)
    finally:
        log.close()


async def _read_configuration(url: str) -> CatchUpResult:
    """Return the configuration in the log; exit if it cannot be read in full."""

    async def read(log: Log) -> CatchUpResult:
        result = await catch_up(log, EMPTY_STATE)
        if isinstance(result, Success) and result.unwrap().complete:
            return result.unwrap()
        detail = result.failure().detail if isinstance(result, Failure) else LOG_TRIMMED
        error_console.print(f"log {url}: {detail}", markup=False)
        raise typer.Exit(ExitCode.UNREACHABLE)

    return await _with_log(url, read)


async def _fetch_json(url: str) -> Any:
    """Fetch a URL and return its JSON.

    Raises:
        OSError: The request failed.
        ValueError: The response is not JSON.
    """
    try:
        answer = await AsyncHTTPClient().fetch(url, request_timeout=ADMIN_TIMEOUT_S)
    except HTTPClientError as error:
        raise OSError(str(error)) from error
    return json.loads(answer.body)


async def _fetch_from_node(node: str, path: str) -> Any:
    """Return the JSON at a path of an admin address; exit if that fails."""
    try:
        return await _fetch_json(node.rstrip("/") + path)
    except (OSError, ValueError) as error:
        error_console.print(f"node {node}: {error}", markup=False)
        raise typer.Exit(ExitCode.UNREACHABLE) from None


async def _wait_until_in_force(node: str, outcome: Outcome, wait_s: float) -> list[str]:
    """Poll every node until the outcome's version is in force on all of them.

    Nodes that are dead or leaving are not waited for.

    Args:
        node: Admin address of the node that lists the others.
        outcome: An accepted change.
        wait_s: Maximum wait, in seconds.

    Returns:
        The nodes on which the version was not in force at the end of the wait.

    Raises:
        typer.Exit: The list of nodes cannot be fetched.
    """
    deadline = time.monotonic() + wait_s
    key = f"{outcome.table}_version"
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    in_force_on: set[str] = set()

    async def poll(record: dict[str, Any]) -> None:
        url = f"http://{record['host']}:{record['admin_port']}/configuration"
        async with semaphore:
            try:
                position = await _fetch_json(url)
            except (OSError, ValueError):
                return
        if position[key] >= outcome.version:
            in_force_on.add(record["node"])

    with error_console.status("waiting for all nodes") as status:
        while True:
            alive = [
                r
                for r in await _fetch_from_node(node, "/nodes")
                if r["state"] == "alive"
            ]
            pending = [r for r in alive if r["node"] not in in_force_on]
            await asyncio.gather(*map(poll, pending))
            behind = [r["node"] for r in pending if r["node"] not in in_force_on]
            status.update(f"in force on {len(alive) - len(behind)}/{len(alive)} nodes")
            if not behind or time.monotonic() >= deadline:
                return behind
            await asyncio.sleep(POLL_INTERVAL_S)


if __name__ == "__main__":
    main()
