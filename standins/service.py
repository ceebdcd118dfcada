"""A stand-in service instance that counts how often each call ran."""

import collections
import http
import time
import typing

import eventlet
import msgspec
import typer

from currantwall.protocol import http as http_protocol
from currantwall.protocol import upstream
from currantwall.state import ids
from currantwall.state import instances
from currantwall.transport import server
from standins import process

__all__ = ["ServiceHandlers", "main"]

Response = http_protocol.Response


class Faults(msgspec.Struct):
    """Faults that the service injects.

    Attributes:
        work_time: Seconds that each call takes.
        refuse: Whether calls are refused with a 429 and not run.
        retry_after: Seconds that refusals ask to wait; 0 for none.
    """

    work_time: float = 0.0
    refuse: bool = False
    retry_after: float = 0.0


class ServiceHandlers(server.Handlers):
    """One service instance."""

    def __init__(self, instance: str) -> None:
        self._instance = ids.InstanceId(instance)
        self._started = int(time.time() * 1e6)
        self._runs: collections.Counter[str] = collections.Counter()
        self._running = 0
        self._faults = Faults()
        self._refused = 0

    @server.route("GET", upstream.REPORT_PATH)
    def report(self, request: server.Request) -> Response:
        """Return the instance's report."""
        return http_protocol.make_json(
            instances.Report(
                instance=self._instance,
                started=self._started,
                state=instances.ReportedState.READY,
                running=self._running,
            )
        )

    @server.route("GET", r"/control/runs")
    def show_runs(self, request: server.Request) -> Response:
        """Return how often a call with each body was run."""
        return http_protocol.make_json(dict(self._runs))

    @server.route("GET", r"/control/refused")
    def count_refused(self, request: server.Request) -> Response:
        """Return how many calls the fault `refuse` has refused."""
        return http_protocol.make_json(self._refused)

    @server.route("POST", r"/control/faults")
    def set_faults(self, request: server.Request) -> Response:
        """Set the faults to inject."""
        self._faults = msgspec.json.decode(request.body, type=Faults)
        return Response(http.HTTPStatus.OK, ())

    @server.route("POST", r"/(?!control/).*")
    def run(self, request: server.Request) -> Response:
        """Run a call and return how often its body has been run."""
        if self._faults.refuse:
            self._refused += 1
            return process.make_refusal(
                http.HTTPStatus.TOO_MANY_REQUESTS, self._faults.retry_after
            )
        text = request.body.decode("utf-8", "replace")
        self._runs[text] += 1
        self._running += 1
        try:
            eventlet.sleep(self._faults.work_time)
        finally:
            self._running -= 1
        body = {
            "instance": self._instance,
            "path": request.path,
            "request": text,
            "run": self._runs[text],
        }
        return http_protocol.make_json(body)


def _serve(
    address: typing.Annotated[str, typer.Option(help="HOST:PORT")],
    instance: typing.Annotated[str, typer.Option(help="Instance id.")],
) -> None:
    """Run one stand-in service instance."""
    process.serve(address, ServiceHandlers(instance))


def main() -> None:
    """Run the command."""
    typer.run(_serve)
