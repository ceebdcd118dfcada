"""Command that runs the soak from one or several seeds.

python -m soak --seed 7 --runs 3 --seconds 20
"""

import pathlib
import sys
import typing

from currantwall.transport import green

green.patch()

import typer  # noqa: E402

from soak import run as run_module  # noqa: E402

__all__ = ["main"]


def _soak(
    seed: typing.Annotated[int, typer.Option(help="First seed.")] = 1,
    runs: typing.Annotated[int, typer.Option(help="Seeds in a row.")] = 1,
    seconds: typing.Annotated[
        float, typer.Option(help="Seconds of disturbances in a run.")
    ] = 20.0,
    gateways: typing.Annotated[int, typer.Option(help="Gateways.")] = 3,
    keep: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Folder for the logs of runs that failed."),
    ] = None,
) -> None:
    """Disturb a site of real processes and check the promises."""
    failed = 0
    for number in range(seed, seed + runs):
        violations, line = run_module.run(number, seconds, gateways, keep)
        verdict = "broken" if violations else "kept"
        print(f"seed {number}: {verdict}; {line}", flush=True)
        for violation in violations:
            print(f"  {violation}", flush=True)
        failed += bool(violations)
    if failed:
        sys.exit(1)


def main() -> None:
    """Run the command."""
    typer.run(_soak)


if __name__ == "__main__":
    # The standins package, the programs and their paths are relative to
    # the project's root.
    sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))
    main()
