"""``currantwall profile``: apply, show, diff and delete profiles."""

import difflib
import pathlib
import typing

import msgspec
import result
import typer

from currantwall.cli import client
from currantwall.cli import output
from currantwall.coordination.profiles import edits
from currantwall.protocol import operators
from currantwall.state import objects
from currantwall.state import profile

__all__ = ["app"]

app = typer.Typer(help="Profiles: classes of service and their capacity.")
Json = typing.Annotated[bool, typer.Option("--json", help="Print JSON.")]
File = typing.Annotated[
    pathlib.Path, typer.Argument(help="INI file with [profile NAME].")
]


class Applied(msgspec.Struct):
    """The outcome of applying or deleting one profile.

    Attributes:
        outcome: `unchanged` or the value of an EditOutcome.
        missing: Nodes on which the edit is not yet in force.
    """

    name: str
    outcome: str
    version: int = 0
    missing: tuple[str, ...] = ()


def read_profiles(path: pathlib.Path) -> list[profile.Profile]:
    """Return the profiles in a file; exit with code 2 if it is invalid."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        message = f"{path}: cannot be read: {error.strerror}"
        output.fail(client.Problem(client.ExitCode.USAGE, message))
    outcome = profile.parse_profiles(text, str(path))
    if isinstance(outcome, result.Err):
        code = client.ExitCode.USAGE
        output.fail(client.Problem(code, str(outcome.err_value)))
    return outcome.ok_value


def _fetch_profile(caller: client.Client, name: str) -> operators.ProfileView:
    path = f"/v1/admin/profiles/{name}"
    return output.unwrap(caller.get(path, operators.ProfileView))


@app.command()
def apply(
    context: typer.Context,
    file: File,
    expect: typing.Annotated[
        int,
        typer.Option(help="Version the edit is based on; -1: the latest."),
    ] = -1,
    json: Json = False,
) -> None:
    """Store the profiles of a file and wait until they are in force.

    Exit code 3: stored, but not yet in force on the entries named.

    Example: currantwall profile apply examples/northgate/profiles.ini
    """
    caller: client.Client = context.obj
    results = [
        _apply_profile(caller, wanted, expect)
        for wanted in read_profiles(file)
    ]
    if json:
        output.print_json(results)
    else:
        for applied in results:
            typer.echo(_describe(applied))
    raise typer.Exit(max(_choose_exit_code(applied) for applied in results))


def _apply_profile(
    caller: client.Client, wanted: profile.Profile, expect: int
) -> Applied:
    current = _fetch_profile(caller, wanted.name)
    expected = current.version if expect < 0 else expect
    if current.profile == wanted and expected == current.version:
        return Applied(wanted.name, "unchanged", current.version)
    path = f"/v1/admin/profiles/{wanted.name}?expected={expected}"
    body = objects.encode(wanted)
    answer = output.unwrap(
        caller.call("PUT", path, body, operators.EditAnswer)
    )
    return Applied(
        wanted.name, answer.outcome.value, answer.version, answer.missing
    )


def _describe(applied: Applied) -> str:
    text = f"{applied.name}: {applied.outcome}"
    if applied.version:
        text += f", version {applied.version}"
    if applied.missing:
        text += f", not yet in force on {', '.join(applied.missing)}"
    return text


def _choose_exit_code(applied: Applied) -> client.ExitCode:
    if applied.outcome in ("unchanged", edits.EditOutcome.ACCEPTED.value):
        return client.ExitCode.OK
    if applied.outcome == edits.EditOutcome.STORED.value:
        return client.ExitCode.NOT_IN_FORCE
    return client.ExitCode.FAILED


@app.command()
def show(
    context: typer.Context,
    name: typing.Annotated[str, typer.Argument(help="Profile name.")] = "",
    json: Json = False,
) -> None:
    """Show one profile, or all of them, as INI.

    Example: currantwall profile show counter
    """
    caller: client.Client = context.obj
    if name:
        views = [_fetch_profile(caller, name)]
    else:
        path = "/v1/admin/profiles"
        kind = list[operators.ProfileView]
        views = output.unwrap(caller.get(path, kind))
    existing = [view for view in views if view.profile is not None]
    if json:
        output.print_json(existing)
    else:
        texts = [
            profile.format_profile(view.profile)
            for view in existing
            if view.profile
        ]
        typer.echo("\n".join(texts).rstrip())
    if name and not existing:
        message = f"there is no profile {name!r}"
        output.fail(client.Problem(client.ExitCode.FAILED, message))


class Difference(msgspec.Struct):
    """What applying a file would change in one profile.

    Attributes:
        lines: Lines of a unified diff; empty if nothing would change.
    """

    name: str
    lines: list[str]


@app.command()
def diff(context: typer.Context, file: File, json: Json = False) -> None:
    """Show what applying a file would change.

    The exit code is 1 if anything would change.

    Example: currantwall profile diff examples/northgate/profiles.ini
    """
    caller: client.Client = context.obj
    differences = []
    for wanted in read_profiles(file):
        current = _fetch_profile(caller, wanted.name).profile
        before = (
            profile.format_profile(current).splitlines() if current else []
        )
        after = profile.format_profile(wanted).splitlines()
        lines = list(
            difflib.unified_diff(
                before, after, "in force", str(file), lineterm=""
            )
        )
        differences.append(Difference(wanted.name, lines))
    if json:
        output.print_json(differences)
    else:
        for difference in differences:
            for line in difference.lines:
                typer.echo(line)
    if any(difference.lines for difference in differences):
        raise typer.Exit(client.ExitCode.FAILED)


@app.command()
def delete(
    context: typer.Context,
    name: typing.Annotated[str, typer.Argument(help="Profile name.")],
    json: Json = False,
) -> None:
    """Delete a profile: its replicas drain and are dissolved.

    Example: currantwall profile delete night-batch
    """
    caller: client.Client = context.obj
    current = _fetch_profile(caller, name)
    if current.profile is None:
        message = f"there is no profile {name!r}"
        output.fail(client.Problem(client.ExitCode.FAILED, message))
    path = f"/v1/admin/profiles/{name}?expected={current.version}"
    answer = output.unwrap(
        caller.call("DELETE", path, b"", operators.EditAnswer)
    )
    applied = Applied(name, answer.outcome.value, 0, answer.missing)
    if json:
        output.print_json(applied)
    else:
        typer.echo(_describe(applied))
    raise typer.Exit(_choose_exit_code(applied))
