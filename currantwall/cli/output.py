"""Output of the tool: tables for people, JSON for scripts."""

from collections import abc
import typing

import msgspec
import result
import typer

from currantwall.cli import client
from currantwall.coordination.profiles import edits
from currantwall.protocol import operators

__all__ = ["check_answer", "fail", "print_json", "print_table", "unwrap"]

Value = typing.TypeVar("Value")


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    typer.echo(text.decode())


def print_table(
    header: abc.Sequence[str], rows: abc.Sequence[abc.Sequence[object]]
) -> None:
    """Print a header and rows with aligned columns."""
    lines = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[n]) for line in lines) for n in range(len(header))]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        typer.echo("  ".join(cells).rstrip())


def fail(problem: client.Problem) -> typing.NoReturn:
    """Print a problem to standard error and exit with its exit code."""
    typer.echo(problem.message, err=True)
    raise typer.Exit(problem.code)


def check_answer(answer: operators.EditAnswer) -> None:
    """Exit with an error unless the edit is in force everywhere."""
    if answer.outcome is edits.EditOutcome.STORED:
        names = ", ".join(answer.missing)
        typer.echo(f"stored, not yet in force on {names}", err=True)
        raise typer.Exit(client.ExitCode.NOT_IN_FORCE)
    if answer.outcome is not edits.EditOutcome.ACCEPTED:
        message = f"not done: {answer.outcome.value}"
        fail(client.Problem(client.ExitCode.FAILED, message))


def unwrap(outcome: result.Result[Value, client.Problem]) -> Value:
    """Return the value of an outcome; `fail` if it is a problem."""
    if isinstance(outcome, result.Err):
        fail(outcome.err_value)
    return outcome.ok_value
