"""The command line against a fleet of daemons."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
import testtools
from testtools.matchers import Contains, Equals
from typer.testing import CliRunner

from bench.fleet import ADMIN_PORT, open_fleet
from siskinlug.cli import app
from tests.fleet_load import ROUTES, start_small_fleet

pytestmark = pytest.mark.processes


class ProcessCliTest(testtools.TestCase):
    def test_publish_waits_for_the_daemons_and_explains(self) -> None:
        """Guards against admin pages that the command line cannot parse."""
        with open_fleet() as fleet, TemporaryDirectory() as directory:
            start_small_fleet(fleet)
            node = ["--node", f"http://{fleet.host(1)}:{ADMIN_PORT}"]
            routes = Path(directory) / "routes.ini"
            routes.write_text(ROUTES.replace("timeout_s = 5", "timeout_s = 6"))
            publish = ["publish", "routes", str(routes), "--base", "1", "--wait", "60"]
            done = CliRunner().invoke(app, [*publish, "--log", fleet.log_url, *node])
            self.assertThat(done.output, Contains("routes is at version 2"))
            self.assertThat(done.exit_code, Equals(0))
            for number in (n.number for n in fleet.nodes):
                page = fleet.admin(number, "/configuration")
                self.assertThat(page["routes_version"], Equals(2))
            for page in ("nodes", "targets", "tables", "signals", "configuration"):
                shown = CliRunner().invoke(app, ["show", page, *node])
                self.assertThat(shown.exit_code, Equals(0), page)
            self.assertThat(shown.output, Contains("heard_s_ago"))
            url = ["GET", "http://x.example/read/1", "--json"]
            explained = CliRunner().invoke(app, ["explain", *url, *node])
            route = json.loads(explained.stdout)["route"]
            self.assertThat(route["timeout_s"], Equals(6.0))
