"""The routes and pools tables, and matching of requests to routes."""

from pathlib import Path
from typing import Any

import testtools
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success
from testtools.matchers import Equals, Is, IsInstance, MatchesSetwise, StartsWith

from siskinlug import tables
from siskinlug.reference import RENDER_BY_PAGE, replace_reference
from siskinlug.routing import match_route
from siskinlug.tables import (
    Route,
    Tables,
    parse_pools,
    parse_routes,
    parse_tables,
    routes_by_section,
)

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"

PATHS = st.lists(st.sampled_from("ab"), max_size=4).flatmap(
    lambda s: st.sampled_from(
        ["/" + "/".join(s), "/" + "/".join([*s, ""])] if s else ["/"]
    )
)
ROUTES = st.lists(
    st.tuples(
        st.sampled_from(["*", "x.example"]), PATHS, st.sampled_from(["", "GET", "PUT"])
    ),
    unique=True,
    max_size=12,
)


def _tables(*routes: Route) -> Tables:
    return Tables(1, 1, {route.name: route for route in routes}, {})


def _match_by_full_search(
    routes: list[Route], method: str, host: str, path: str
) -> Route | None:
    """Search all routes, as a reference, and take the best by the documented order."""
    matching = [
        route
        for route in routes
        if route.host in (host, "*")
        and (
            path.startswith(route.path_prefix)
            if route.path_prefix.endswith("/")
            else (path + "/").startswith(route.path_prefix + "/")
        )
        and (not route.methods or method in route.methods)
    ]
    return max(
        matching,
        key=lambda r: (r.host != "*", len(r.path_prefix), bool(r.methods)),
        default=None,
    )


class TablesTest(testtools.TestCase):
    def test_examples_are_valid(self) -> None:
        for directory in EXAMPLES.iterdir():
            tables = parse_tables(
                (directory / "routes.ini").read_text(),
                (directory / "pools.ini").read_text(),
            )
            self.assertThat(tables, IsInstance(Success))

    def test_every_fault_is_reported_with_its_place(self) -> None:
        """Guards against a check that stops at the first faulty row, file or kind."""
        routes = (
            "[a]\npool = p\npath_prefix = /x\n\n"
            "[b]\npool = q\nretries = 9\n\n"
            "[c]\npool = gone\n[d]\npool = p\npath_prefix = /x\n"
            "[a]\nnonsense\npool = p\n[e]\n"
        )
        pools = "[p]\nservice = s\nfloor_slots = -1\nqueue = 1\nqueue = 2\n"
        read = parse_tables(routes, pools)
        self.assertThat(read, IsInstance(Failure))
        self.assertThat(
            [str(fault) for fault in read.failure()],
            MatchesSetwise(
                Equals("routes.ini:14: [a]: section is given twice"),
                Equals("routes.ini:15: neither a section nor key = value"),
                Equals("routes.ini:7: [b] retries: 9 is outside 0 to 5"),
                Equals("routes.ini:17: [e] pool: missing"),
                StartsWith("routes.ini:13: [d] path_prefix: matches * */x as does [a]"),
                Equals("routes.ini:10: [c] pool: there is no pool 'gone'"),
                Equals("pools.ini:5: [p] queue: key is given twice"),
                Equals("pools.ini:3: [p] floor_slots: -1 is outside 0 to 1000000"),
            ),
        )

    def test_comment_after_a_value_is_ignored(self) -> None:
        """Guards against a value that includes a comment after a single space."""
        pool = parse_pools("[p]\nservice = s # five\nqueue = 5 ; few\n").unwrap()["p"]
        self.assertThat((pool.service, pool.queue), Equals(("s", 5)))

    def test_pool_that_contradicts_itself_is_refused(self) -> None:
        """Guards against a pool that no target can ever belong to."""
        pools = parse_pools(
            "[p]\nservice = s\nallowed_vms = a b\ndenied_vms = a b c\n"
            "failure_domains = x\nweight_by_domain = y:2\n"
        )
        keys = [fault.key for fault in pools.failure()]
        self.assertThat(keys, Equals(["denied_vms", "weight_by_domain"]))

    @given(st.text(alphabet="[]ab=: \n\r#;/*\x00\x0b", max_size=80))
    def test_any_text_is_parsed_or_refused(self, text: str) -> None:
        """Guards against an exception for a corrupted file."""
        for fault in parse_routes(text).swap().value_or([]):
            self.assertTrue(0 <= fault.line <= text.count("\n") + 1)


class RoutingTest(testtools.TestCase):
    @given(
        ROUTES,
        PATHS,
        st.sampled_from(["GET", "PUT", "POST"]),
        st.sampled_from(["x.example", "y.example"]),
    )
    def test_match_agrees_with_a_search_of_all_routes(
        self,
        rows: list[tuple[str, str, str]],
        path: str,
        method: str,
        host: str,
    ) -> None:
        """Guards against a wrong order of host, prefix and method in the index."""
        routes = [
            Route(f"r{n}", host_, prefix, (method_,) if method_ else (), "p")
            for n, (host_, prefix, method_) in enumerate(rows)
        ]
        found = match_route(_tables(*routes), method, host, path)
        self.assertThat(found, Is(_match_by_full_search(routes, method, host, path)))

    def test_prefix_ends_at_a_segment(self) -> None:
        """Guards against ``/orders`` matching requests for ``/orders-old``."""
        tables = _tables(Route("orders", "*", "/orders", (), "p"))
        for path, matches in [
            ("/orders", True),
            ("/orders/", True),
            ("/orders?x=/", True),
            ("/orders/1/2", True),
            ("/orders-old", False),
            ("/", False),
        ]:
            found = match_route(tables, "GET", "h:80", path)
            self.assertThat(found is not None, Equals(matches), path)

    def test_prefix_with_a_slash_at_its_end_does_not_match_itself(self) -> None:
        """Guards against ``/orders/archive/`` taking requests for ``/orders/archive``.

        They belong to the route that a shorter prefix selects, or to none.
        """
        orders = Route("orders", "*", "/orders/", (), "bookings")
        archive = Route("archive", "*", "/orders/archive/", (), "records")
        for path, name in [
            ("/orders/archive", "orders"),
            ("/orders/archive?year=1", "orders"),
            ("/orders/archive/", "archive"),
            ("/orders/archive/1", "archive"),
            ("/orders/archived/1", "orders"),
            ("/orders", None),
            ("/", None),
        ]:
            found = match_route(_tables(orders, archive), "GET", "h", path)
            self.assertThat(found and found.name, Equals(name), path)

    def test_literal_prefix_begins_the_path_as_it_was_sent(self) -> None:
        """Guards against a request on a literal route that another spelling selects.

        The normalized route beside it still takes what only its normal form matches.
        """
        tables = _tables(
            Route("all", "*", "/", (), "p", path_match="literal"),
            Route("escaped", "*", "/narud%C5%BEbe/", (), "p", path_match="literal"),
            Route("plain", "*", "/hires/", (), "p", path_match="literal"),
            Route("normal", "*", "/fittings/", (), "p"),
        )
        for path, name in [
            ("/narud%C5%BEbe/1", "escaped"),
            ("/narud%c5%bebe/1", "all"),
            ("/hires/1", "plain"),
            ("/%68ires/1", "all"),
            ("/x/../hires/1", "all"),
            ("/%66ittings/1", "normal"),
        ]:
            found = match_route(tables, "GET", "h", path)
            self.assertThat(found and found.name, Equals(name), path)

    def test_prefix_that_only_a_literal_route_can_match(self) -> None:
        """Guards against a normalized route that no request can ever take."""
        for prefix in ("/a%41/", "/a/../b/", "/a//b/", "/a" * 40):
            text = f"[r]\npool = p\npath_prefix = {prefix}\n"
            self.assertThat(parse_routes(text), IsInstance(Failure), prefix)
            literal = parse_routes(text + "path_match = literal\n")
            self.assertThat(literal, IsInstance(Success), prefix)

    def test_other_spellings_of_a_path_reach_its_route(self) -> None:
        """Guards against a caller that bypasses a route by escapes or dot segments."""
        tables = _tables(
            Route("all", "*", "/", (), "p"), Route("hires", "*", "/hires", (), "p")
        )
        for path in ("/%68ires", "/x/../hires/1", "/./hires", "/x/%2e%2E/hires"):
            found = match_route(tables, "GET", "X:1", path)
            self.assertThat(found and found.name, Equals("hires"), path)

    def test_long_path_is_cut_before_it_is_searched(self) -> None:
        """Guards against matching time that is quadratic in the path length."""
        tables = _tables(Route("a", "*", "/a", (), "p"))
        # Without the limit this takes minutes, not milliseconds.
        self.assertThat(match_route(tables, "GET", "h", "/b" * 1_000_000), Is(None))

    def test_changed_tables_get_their_own_index(self) -> None:
        """Guards against a match from the index of tables no longer in force."""
        for n in range(20):
            tables = _tables(Route(f"r{n}", "*", "/", (), "p"))
            found = match_route(tables, "GET", "h", "/")
            self.assertThat(found and found.name, Equals(f"r{n}"))


class ReferenceTest(testtools.TestCase):
    def test_reference_page_is_up_to_date(self) -> None:
        """Guards against documentation that differs from the keys that are checked."""
        for name, render in RENDER_BY_PAGE.items():
            page = (EXAMPLES.parent / "docs" / name).read_text()
            self.assertThat(replace_reference(page, render), Equals(page))


def _routes_text(count: int, *, timeout_s_by_number: dict[int, int]) -> str:
    return "# comment\n\n" + "".join(
        f"[r{number}]\npool = p\npath_prefix = /r{number}\n"
        f"timeout_s = {timeout_s_by_number.get(number, 5)}\n\n"
        for number in range(count)
    )


class ChangedRoutesTest(testtools.TestCase):
    """Load pattern: a table of 1,400 routes of which changes touch a few rows."""

    def test_change_of_one_route_parses_one_section(self) -> None:
        parsed_sections: list[str] = []
        parse_section = tables.parse_section

        def counting(*args: Any, section: str, **kwargs: Any) -> Any:
            parsed_sections.append(section)
            return parse_section(*args, section=section, **kwargs)

        before = _routes_text(1400, timeout_s_by_number={})
        known = routes_by_section(before, parse_routes(before).unwrap())
        after = _routes_text(1400, timeout_s_by_number={7: 9})
        self.patch(tables, "parse_section", counting)
        changed = parse_routes(after, known_by_section=known)
        self.assertThat(parsed_sections, Equals(["r7"]))
        self.assertThat(changed.unwrap()["r7"].timeout_s, Equals(9))
        self.assertThat(changed, Equals(parse_routes(after)))

    def test_many_empty_lines_before_a_fault_are_read_in_linear_time(self) -> None:
        """Guards against a pattern that tries every division of the empty lines."""
        known = routes_by_section(
            "[a]\npool = p\n", {"a": Route("a", "*", "/", (), "p")}
        )
        text = "\n" * 200 + "text\n[a]\npool = p\n"
        changed = parse_routes(text, known_by_section=known)
        self.assertThat(changed, Equals(parse_routes(text)))

    @given(
        before=st.lists(st.sampled_from("abcdefgh"), unique=True),
        after=st.lists(
            st.sampled_from(
                [
                    "[a]\npool=p\n",
                    "[b]\npool=p\npath_prefix=/b\n",
                    "[c]\npool=q\n",
                    "[d]\n",
                    "[a]x]\npool=p\n",
                    "  [e]\npool=p\n",
                    "[f\n",
                    "text\n",
                    "pool=p\n",
                    "; comment\n",
                    "[h]\npool=p\n  more\n",
                    "[g]\nno=1\n",
                ]
            )
        ),
    )
    def test_changed_table_is_parsed_as_a_new_one(
        self, before: list[str], after: list[str]
    ) -> None:
        """Unchanged sections must not hide a fault or change the order of the rows."""
        text = "".join(f"[{name}]\npool=p\npath_prefix=/{name}\n" for name in before)
        known = routes_by_section(text, parse_routes(text).unwrap())
        changed = parse_routes("".join(after), known_by_section=known)
        self.assertThat(changed, Equals(parse_routes("".join(after))))
        if isinstance(changed, Success):
            self.assertThat(
                list(changed.unwrap()),
                Equals(list(parse_routes("".join(after)).unwrap())),
            )
