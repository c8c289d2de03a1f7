"""Command line of the soak: ``PYTHONPATH=platform python -m soak``."""

import asyncio
import shutil
from pathlib import Path
from random import SystemRandom
from typing import Annotated

import typer

from soak.runner import run_soak

OUT = Path("out")


def main(
    seed: Annotated[int, typer.Option(help="First seed; random seeds if 0.")] = 0,
    count: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: Annotated[
        float, typer.Option(help="Time in which faults start, in s.")
    ] = 12.0,
    nodes: Annotated[int, typer.Option(help="Number of nodes.")] = 4,
    load: Annotated[
        float, typer.Option(help="Multiple of the usual rates of requests and faults.")
    ] = 1.0,
    planned_only: Annotated[
        bool, typer.Option(help="Only planned work, no unplanned faults.")
    ] = False,
) -> None:
    """Run soaks one after the other and keep the logs of those that fail."""
    failed = 0
    for number in range(count):
        soak_seed = seed + number if seed else SystemRandom().randrange(1, 10**9)
        folder = OUT / f"soak-{soak_seed}"
        folder.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(
            run_soak(
                soak_seed,
                seconds=seconds,
                nodes=nodes,
                load=load,
                planned_only=planned_only,
                folder=folder.resolve(),
            )
        )
        typer.echo(
            f"seed {soak_seed}: {len(report.violations)} violations, "
            f"requests {dict(report.requests)}, faults {dict(report.faults)}"
        )
        for line in report.violations[:10]:
            typer.echo(f"  {line}")
        if report.violations:
            failed += 1
            (folder / "violations.txt").write_text("\n".join(report.violations) + "\n")
        else:
            shutil.rmtree(folder)
    typer.echo(f"{count - failed} passed, {failed} failed")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
