"""The operators' command line: ``siskinlug``."""

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
from siskinlug.configuration import EMPTY_STATE, accepted_as
from siskinlug.ini import Fault
from siskinlug.log_client import Log, open_log
from siskinlug.publishing import LOG_TRIMMED, Outcome, publish, settle, start_over
from siskinlug.tables import Pool, Route, parse_pools, parse_routes, read_tables

ADMIN_TIMEOUT_S = 3.0
WAIT_POLL_S = 0.2
# Admin ports asked at a time while waiting for a fleet.
ASK_AT_ONCE = 40
# Longer cells push the columns that tell rows apart out of a narrow terminal.
CELL_CHARS = 48


class Exit(enum.IntEnum):
    """Exit codes; 2 is a command line that cannot be understood."""

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


class Page(enum.StrEnum):
    """What a node shows."""

    NODES = "nodes"
    TARGETS = "targets"
    TABLES = "tables"


app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode="markdown",
    help="""Check, publish and look at the routes and pools of a siskinlug fleet.

The **routes** table says which pool serves a request, the **pools** table which VMs
may take it. Both are INI files with one section a row, kept in version control. The
usual way of a change:

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
errors = Console(stderr=True)

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
    """Check both table files and that every route has its pool.

    Lists every fault at once as file, line, section and key. Needs neither the log nor
    a node, so it suits a commit hook: `siskinlug check routes.ini pools.ini`
    """
    read = read_tables(
        _read(routes), _read(pools), routes_file=str(routes), pools_file=str(pools)
    )
    faults = read.failure() if isinstance(read, Failure) else []
    if as_json:
        _print_json({"faults": [fault._asdict() for fault in faults]})
    elif faults:
        _print_faults(faults)
    else:
        routes_by_name, pools_by_name = read.unwrap()
        console.print(f"{len(routes_by_name)} routes, {len(pools_by_name)} pools: good")
    raise typer.Exit(Exit.INVALID if faults else Exit.DONE)


@app.command()
def diff(
    table: TableName, file: FileArgument, log: LogOption, as_json: JsonOption = False
) -> None:
    """Show what publishing a file would change, row by row.

    Exits with 0 if nothing would change and with 1 if something would.
    """
    held = _run(_read_log(log)).state
    changes = _differences(table, held.text(table), _read(file), str(file))
    if as_json:
        _print_json({"version": held.version(table), "changes": changes})
    else:
        _print_differences(table, held.version(table), changes)
    raise typer.Exit(Exit.DIFFERENT if changes else Exit.DONE)


@app.command("publish")
def publish_table(
    table: TableName,
    file: FileArgument,
    log: LogOption,
    base: Annotated[
        int | None,
        typer.Option(
            help="Version that the file is based on. Without it the difference is "
            "shown, and what is in force is the base if you confirm."
        ),
    ] = None,
    note: Annotated[str, typer.Option(help="Why, for the history.")] = "",
    operator: OperatorOption = "",
    change: Annotated[
        str,
        typer.Option("--id", help="Id of the change; the same id is published once."),
    ] = "",
    yes: Annotated[
        bool, typer.Option("--yes", help="Publish without a confirmation.")
    ] = False,
    node: Annotated[
        str,
        typer.Option(
            envvar="SISKINLUG_NODE",
            help="Admin address of any node; with it the command waits until the "
            "change is in force on every node.",
        ),
    ] = "",
    wait: Annotated[
        float, typer.Option(help="Longest wait for that, in seconds.")
    ] = 10.0,
    as_json: JsonOption = False,
) -> None:
    """Publish a table.

    The outcome is one of three. **accepted**: it is the next version. **refused**: it
    will never be in force; if another change came first it is named, and `diff` shows
    what to merge. **unknown**: the log failed at the wrong moment; the command that
    settles it is printed.

    Example: `siskinlug publish pools pools.ini --base 7 --note "vm12 back" --wait 20`
    """
    text = _read(file)
    if base is None:
        base = _confirm_base(log, table, text, str(file), yes=yes, quiet=as_json)
    outcome = _run(
        _with_log(
            log,
            lambda opened: publish(
                opened,
                table.value,
                text,
                change=change or _new_id(),
                base=base,
                operator=operator or getpass.getuser(),
                note=note,
            ),
        )
    )
    waiting: list[str] = []
    if outcome.kind == "accepted" and node:
        waiting = _run(_wait_in_force(node, outcome, wait))
    _report(outcome, waiting, as_json=as_json)


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
    _report(outcome, [], as_json=as_json)


@app.command("start-over")
def start_over_tables(
    routes: FileArgument,
    pools: FileArgument,
    log: LogOption,
    note: Annotated[str, typer.Option(help="Why, for the history.")] = "",
    operator: OperatorOption = "",
    change: Annotated[
        str,
        typer.Option("--id", help="Id of the change; the same id is published once."),
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """Publish both tables when the log has lost the configuration.

    This happens when no node ran for longer than the log keeps records. The command is
    refused while the configuration can still be read from the log.
    """
    texts = _read(routes), _read(pools)
    outcome = _run(
        _with_log(
            log,
            lambda opened: start_over(
                opened,
                *texts,
                change=change or _new_id(),
                operator=operator or getpass.getuser(),
                note=note,
            ),
        )
    )
    _report(outcome, [], as_json=as_json)


@app.command()
def history(
    log: LogOption,
    table: Annotated[TableName | None, typer.Option(help="Only this table.")] = None,
    limit: Annotated[int, typer.Option(min=1, help="Newest changes shown.")] = 20,
    as_json: JsonOption = False,
) -> None:
    """Show the last changes, accepted and refused, newest first."""
    state = _run(_read_log(log)).state
    changes = [c for c in reversed(state.changes) if table in (None, c.table)][:limit]
    if as_json:
        _print_json([c._asdict() for c in changes])
        return
    shown = Table("when", "table", "version", "operator", "change", "note or problem")
    for c in changes:
        when = datetime.fromtimestamp(c.at_ms / 1000, UTC).isoformat(" ", "seconds")
        version = str(c.version) if c.version else f"[red]{c.cause}[/red]"
        cells = map(escape, (c.operator, c.change, c.problem or c.note))
        shown.add_row(when, c.table, version, *cells)
    console.print(shown)


@app.command()
def show(page: Page, node: NodeOption, as_json: JsonOption = False) -> None:
    """Show the nodes, the targets or the tables in force, as one node knows them."""
    shown = _run(_get(node, f"/{page.value}"))
    if as_json:
        _print_json(shown)
    elif page is Page.TABLES:
        for table in TableName:
            version = shown[f"{table}_version"]
            rows = [row | {"name": name} for name, row in shown[table].items()]
            _print_rows(f"{table}, version {version}", rows)
    else:
        _print_rows(page.value, shown)


@app.command()
def explain(
    method: Annotated[str, typer.Argument(help="Request method, such as GET.")],
    url: Annotated[str, typer.Argument(help="Such as http://hire.example/orders/7.")],
    node: NodeOption,
    as_json: JsonOption = False,
) -> None:
    """Explain where a request would go from one node, and why.

    Example: `siskinlug explain GET http://hire.example/availability?size=40`
    """
    query = urlencode({"method": method, "url": url})
    shown = _run(_get(node, f"/explain?{query}"))
    if as_json:
        _print_json(shown)
        return
    route = shown["route"]
    if route is None:
        console.print(f"no route: {shown['why']}")
        return
    console.print(f"route [bold]{route['name']}[/bold], pool {route['pool']}")
    _print_rows("candidates", shown["candidates"])
    _print_rows("left out", shown["left_out"])


@app.command()
def timeline(
    node: NodeOption,
    kind: Annotated[
        list[str] | None, typer.Option(help="Kind of event, or its start; repeatable.")
    ] = None,
    only: Annotated[
        list[str] | None, typer.Option(help="Process to show; repeatable.")
    ] = None,
    subject: Annotated[str, typer.Option(help="Text that the subject contains.")] = "",
    last: Annotated[
        float | None, typer.Option(help="Only the last seconds.", metavar="S")
    ] = None,
    follow: Annotated[bool, typer.Option(help="Go on until interrupted.")] = False,
    picture: Annotated[
        Path | None, typer.Option(help="Write an SVG or PNG, a lane a process.")
    ] = None,
) -> None:
    """Show the events of all nodes, merged in causal order.

    Example: `siskinlug timeline --kind target_ --last 60`
    """
    # Imported here: it brings in matplotlib, which no other command needs.
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


def _report(outcome: Outcome, waiting: Sequence[str], *, as_json: bool) -> NoReturn:
    """Print an outcome and exit with its code."""
    if as_json:
        _print_json(outcome._asdict() | {"not_in_force_on": list(waiting)})
    elif outcome.kind == "accepted":
        console.print(f"accepted: {outcome.table} is at version {outcome.version}")
        if waiting:
            errors.print(f"not in force on {', '.join(waiting)}", markup=False)
    elif outcome.kind == "refused":
        errors.print(f"refused: {outcome.detail}", markup=False)
        if outcome.cause == "conflict":
            errors.print(f"see what to merge: siskinlug diff {outcome.table} FILE")
    else:
        errors.print(f"unknown: {outcome.detail}", markup=False)
        errors.print(f"settle it with: {outcome.settle}", markup=False)
    if outcome.kind == "accepted":
        raise typer.Exit(Exit.NOT_IN_FORCE if waiting else Exit.DONE)
    if outcome.kind == "unknown":
        raise typer.Exit(Exit.UNKNOWN)
    raise typer.Exit(
        {
            "invalid": Exit.INVALID,
            "conflict": Exit.CONFLICT,
            "cancelled": Exit.CANCELLED,
        }.get(outcome.cause, Exit.UNREACHABLE)
    )


def _confirm_base(
    log: str, table: TableName, text: str, file: str, *, yes: bool, quiet: bool
) -> int:
    """Show what a file changes and return the version in force, if confirmed."""
    held = _run(_read_log(log)).state
    changes = _differences(table, held.text(table), text, file)
    version = held.version(table)
    if not quiet:
        _print_differences(table, version, changes)
        last = accepted_as(held, table, version)
        if last is not None:
            by = f"version {version} is by {last.operator}, change {last.change}"
            console.print(by, markup=False)
    if not yes and not typer.confirm("Publish?", err=True):
        raise typer.Exit(Exit.CANCELLED)
    return version


def _differences(
    table: TableName, held_text: str, text: str, file: str
) -> list[dict[str, Any]]:
    """Return the rows that differ, each with the keys that do."""
    held = _rows(table, held_text, "in force")
    new = _rows(table, text, file)
    changes: list[dict[str, Any]] = []
    for name in sorted(held.keys() | new.keys()):
        before, after = held.get(name, {}), new.get(name, {})
        keys = [
            {"key": k, "before": before.get(k), "after": after.get(k)}
            for k in before | after
            if k != "name" and before.get(k) != after.get(k)
        ]
        if keys:
            kind = "changed" if before and after else "added" if after else "removed"
            changes.append({"row": name, "change": kind, "keys": keys})
    return changes


def _rows(table: TableName, text: str, file: str) -> dict[str, dict[str, Any]]:
    parse = parse_routes if table is TableName.ROUTES else parse_pools
    read = parse(text, file=file)
    if isinstance(read, Failure):
        _print_faults(read.failure())
        raise typer.Exit(Exit.INVALID)
    rows: dict[str, Route] | dict[str, Pool] = read.unwrap()
    return {name: row._asdict() for name, row in rows.items()}


def _print_differences(
    table: TableName, version: int, changes: Sequence[dict[str, Any]]
) -> None:
    if not changes:
        console.print(f"no difference to {table} version {version}")
        return
    shown = Table("row", "key", f"version {version}", "file", title=table.value)
    for change in changes:
        style = {"added": "green", "removed": "red"}.get(change["change"], "")
        for key in change["keys"]:
            cells = (
                change["row"],
                key["key"],
                _cell(key["before"]),
                _cell(key["after"]),
            )
            shown.add_row(*cells, style=style)
    console.print(shown)


def _print_rows(title: str, rows: Sequence[dict[str, Any]]) -> None:
    keys = list(dict.fromkeys(key for row in rows for key in row))
    # Names come first; nested values are left to --json.
    keys.sort(key=lambda key: key not in ("name", "node", "target"))
    shown = Table(*keys, title=f"{title}: {len(rows)}")
    for row in rows:
        shown.add_row(*(_cell(row.get(key)) for key in keys))
    console.print(shown)


def _cell(value: Any) -> str:
    if value is None or value == [] or value == ():
        return ""
    if isinstance(value, list | tuple) and not isinstance(value[0], str):
        return f"{len(value)}"
    if isinstance(value, list | tuple):
        value = " ".join(value)
    text = str(value)
    if len(text) > CELL_CHARS:
        text = text[: CELL_CHARS - 1] + "…"
    return escape(text)


def _print_faults(faults: Sequence[Fault]) -> None:
    for fault in faults:
        errors.print(str(fault), markup=False, highlight=False, soft_wrap=True)


def _print_json(value: Any) -> None:
    print(json.dumps(value, indent=2))


def _read(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        errors.print(f"{file} cannot be read: {error}", markup=False)
        raise typer.Exit(Exit.INVALID) from None


def _new_id() -> str:
    """Return an id that no other change has."""
    return f"{int(time.time()):x}-{secrets.token_hex(4)}"


def _run(main: Coroutine[Any, Any, Any]) -> Any:
    return asyncio.run(main)


async def _with_log(url: str, use: Any) -> Any:
    log = open_log(url)
    try:
        return await use(log)
    finally:
        log.close()


async def _read_log(url: str) -> CatchUpResult:
    async def read(log: Log) -> CatchUpResult:
        result = await catch_up(log, EMPTY_STATE)
        if isinstance(result, Success) and result.unwrap().complete:
            return result.unwrap()
        detail = result.failure().detail if isinstance(result, Failure) else LOG_TRIMMED
        errors.print(f"log {url}: {detail}", markup=False)
        raise typer.Exit(Exit.UNREACHABLE)

    return await _with_log(url, read)


async def _fetch(url: str) -> Any:
    """Return the JSON at an address; raises OSError or ValueError."""
    try:
        answer = await AsyncHTTPClient().fetch(url, request_timeout=ADMIN_TIMEOUT_S)
    except HTTPClientError as error:
        raise OSError(str(error)) from error
    return json.loads(answer.body)


async def _get(node: str, path: str) -> Any:
    try:
        return await _fetch(node.rstrip("/") + path)
    except (OSError, ValueError) as error:
        errors.print(f"node {node}: {error}", markup=False)
        raise typer.Exit(Exit.UNREACHABLE) from None


async def _wait_in_force(node: str, outcome: Outcome, wait_s: float) -> list[str]:
    """Ask every node until all have the version; returns those that do not.

    A node that is dead or leaves during the wait is not waited for.
    """
    deadline = time.monotonic() + wait_s
    key = f"{outcome.table}_version"
    limit = asyncio.Semaphore(ASK_AT_ONCE)
    done: set[str] = set()

    async def ask(record: dict[str, Any]) -> None:
        url = f"http://{record['host']}:{record['admin_port']}/configuration"
        async with limit:
            try:
                position = await _fetch(url)
            except (OSError, ValueError):
                return
        if position[key] >= outcome.version:
            done.add(record["node"])

    with errors.status("waiting until in force everywhere") as status:
        while True:
            records = [r for r in await _get(node, "/nodes") if r["state"] == "alive"]
            left = [r for r in records if r["node"] not in done]
            await asyncio.gather(*map(ask, left))
            waiting = [r["node"] for r in left if r["node"] not in done]
            status.update(f"in force on {len(records) - len(waiting)}/{len(records)}")
            if not waiting or time.monotonic() >= deadline:
                return waiting
            await asyncio.sleep(WAIT_POLL_S)


if __name__ == "__main__":
    main()
