"""``currantwall profile``: apply, show, diff, delete."""

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
    """What became of one profile of a file."""

    name: str
    outcome: str
    version: int = 0
    missing: tuple[str, ...] = ()


def read_profiles(path: pathlib.Path) -> list[profile.Profile]:
    """Return the profiles in a file; exit with 2 when it is bad."""
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


def _get(caller: client.Client, name: str) -> operators.ProfileView:
    path = f"/v1/admin/profiles/{name}"
    return output.unwrap(caller.get(path, operators.ProfileView))


@app.command()
def apply(
    context: typer.Context,
    file: File,
    expect: typing.Annotated[
        int,
        typer.Option(help="Version the edit is based on; -1: the newest."),
    ] = -1,
    json: Json = False,
) -> None:
    """Store the profiles of a file and wait until they are in force.

    Exit code 3: stored, but not yet in force on the entries named.

    Example: currantwall profile apply examples/northgate/profiles.ini
    """
    caller: client.Client = context.obj
    done = [
        _apply_one(caller, wanted, expect) for wanted in read_profiles(file)
    ]
    if json:
        output.print_json(done)
    else:
        for one in done:
            typer.echo(_describe(one))
    raise typer.Exit(max(_choose_code(one) for one in done))


def _apply_one(
    caller: client.Client, wanted: profile.Profile, expect: int
) -> Applied:
    held = _get(caller, wanted.name)
    expected = held.version if expect < 0 else expect
    if held.profile == wanted and expected == held.version:
        return Applied(wanted.name, "unchanged", held.version)
    path = f"/v1/admin/profiles/{wanted.name}?expected={expected}"
    body = objects.encode(wanted)
    answer = output.unwrap(
        caller.call("PUT", path, body, operators.EditAnswer)
    )
    return Applied(
        wanted.name, answer.outcome.value, answer.version, answer.missing
    )


def _describe(done: Applied) -> str:
    text = f"{done.name}: {done.outcome}"
    if done.version:
        text += f", version {done.version}"
    if done.missing:
        text += f", not yet in force on {', '.join(done.missing)}"
    return text


def _choose_code(done: Applied) -> client.ExitCode:
    if done.outcome in ("unchanged", edits.EditOutcome.ACCEPTED.value):
        return client.ExitCode.OK
    if done.outcome == edits.EditOutcome.STORED.value:
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
        found = [_get(caller, name)]
    else:
        path = "/v1/admin/profiles"
        kind = list[operators.ProfileView]
        found = output.unwrap(caller.get(path, kind))
    known = [view for view in found if view.profile is not None]
    if json:
        output.print_json(known)
    else:
        texts = [
            profile.format_profile(view.profile)
            for view in known
            if view.profile
        ]
        typer.echo("\n".join(texts).rstrip())
    if name and not known:
        message = f"there is no profile {name!r}"
        output.fail(client.Problem(client.ExitCode.FAILED, message))


class Difference(msgspec.Struct):
    """What a file would change in one profile."""

    name: str
    lines: list[str]


@app.command()
def diff(context: typer.Context, file: File, json: Json = False) -> None:
    """Show what applying a file would change; exit code 1: something.

    Example: currantwall profile diff examples/northgate/profiles.ini
    """
    caller: client.Client = context.obj
    found = []
    for wanted in read_profiles(file):
        held = _get(caller, wanted.name).profile
        before = profile.format_profile(held).splitlines() if held else []
        after = profile.format_profile(wanted).splitlines()
        lines = list(
            difflib.unified_diff(
                before, after, "in force", str(file), lineterm=""
            )
        )
        found.append(Difference(wanted.name, lines))
    if json:
        output.print_json(found)
    else:
        for one in found:
            for line in one.lines:
                typer.echo(line)
    if any(one.lines for one in found):
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
    held = _get(caller, name)
    if held.profile is None:
        message = f"there is no profile {name!r}"
        output.fail(client.Problem(client.ExitCode.FAILED, message))
    path = f"/v1/admin/profiles/{name}?expected={held.version}"
    answer = output.unwrap(
        caller.call("DELETE", path, b"", operators.EditAnswer)
    )
    done = Applied(name, answer.outcome.value, 0, answer.missing)
    if json:
        output.print_json(done)
    else:
        typer.echo(_describe(done))
    raise typer.Exit(_choose_code(done))
