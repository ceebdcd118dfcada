"""Command ``currantwalld``: runs one entry process."""

import pathlib
import sys
import typing

import result
import typer

from currantwall.state import settings as settings_module
from currantwall.transport import green

__all__ = ["main"]

_EXIT_BAD_SETTINGS = 2


def _load(path: pathlib.Path) -> settings_module.Settings:
    """Return the settings in a file.

    Raises:
        SystemExit: With status 2, after printing the error, if the
            settings are unreadable or invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        print(f"{path}: cannot be read: {error.strerror}", file=sys.stderr)
        raise SystemExit(_EXIT_BAD_SETTINGS) from error
    outcome = settings_module.parse_settings(text, str(path))
    if isinstance(outcome, result.Err):
        print(outcome.err_value, file=sys.stderr)
        raise SystemExit(_EXIT_BAD_SETTINGS)
    return outcome.ok_value


def _serve(
    config: typing.Annotated[
        pathlib.Path, typer.Option(help="Settings of this process, INI.")
    ],
    check: typing.Annotated[
        bool, typer.Option(help="Check the settings and exit.")
    ] = False,
) -> None:
    """Run one entry process.

    Example: currantwalld --config examples/northgate/entry.ini
    """
    settings = _load(config)
    if check:
        return
    # The modules that root imports must see the patched standard library;
    # a check of the settings needs neither.
    green.patch()
    from currantwall import root

    try:
        root.run(settings)
    except root.ListenError as error:
        print(
            f"{config}: [node] address, peer_address: cannot listen: {error}",
            file=sys.stderr,
        )
        raise SystemExit(_EXIT_BAD_SETTINGS) from error


def main() -> None:
    """Run the command."""
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(_serve)
    app()


if __name__ == "__main__":
    main()
