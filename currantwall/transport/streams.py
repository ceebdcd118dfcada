"""Event streams, forwarded to callers event by event.

If its upstream fails, a stream is resumed at another one after the last
complete event, if its route allows that. The caller sees one answer.
"""

import typing

from currantwall.transport import exchanges
from currantwall.transport import ingress
from currantwall.transport import races
from currantwall.transport import requests
from currantwall.transport import sending

__all__ = ["Streams"]

Reply = ingress.Reply


class Streams:
    """Serves requests that are answered by an event stream."""

    def __init__(self, sender: sending.Sender) -> None:
        self._sender = sender

    def serve(self, request: requests.Request) -> Reply:
        """Return the answer once its first event has arrived.

        An answer that is no event stream is returned whole.

        Raises:
            requests.Refused: No upstream has answered.
        """
        race = races.Race(self._sender, request)
        try:
            first = race.advance()
        except requests.CallerDisconnected:
            race.cancel()
            assert race.current is not None
            return self._sender.abandon(request, race.current)
        except BaseException:
            race.cancel()
            raise
        assert race.current is not None
        if isinstance(first, Reply):
            return self._sender.deliver(request, race.current, first)
        assert race.current.head is not None
        return Reply(
            status=race.current.head.status,
            headers=sending.drop_hop_headers(race.current.head.headers),
            body=self._relay(request, race, first),
        )

    def _relay(
        self,
        request: requests.Request,
        race: races.Race,
        batch: races.Batch | Reply,
    ) -> typing.Iterator[bytes]:
        """Yield complete events; resume elsewhere if the upstream fails.

        Args:
            request: The request.
            race: Its attempts.
            batch: The first events.

        Raises:
            requests.StreamAborted: The stream can't be resumed, or the
                caller has disconnected.
        """
        request.progress.started = True
        status = 200
        try:
            while True:
                # A stream that has begun has no other answers.
                assert isinstance(batch, races.Batch)
                if batch.events:
                    request.last_event = (
                        batch.events[-1].id or request.last_event
                    )
                    request.note_events(self._sender.now())
                    yield b"".join(event.data for event in batch.events)
                    race.note_written()
                if batch.has_ended:
                    if batch.rest:
                        yield batch.rest
                    return
                batch = race.advance()
        except (requests.Refused, requests.CallerDisconnected) as error:
            status = 0
            request.aborted_because = str(error) or "the caller left"
            raise requests.StreamAborted(str(error)) from None
        except GeneratorExit:
            status = 0
            raise
        finally:
            request.end_watching()
            self._end(request, race, status)

    def _end(
        self, request: requests.Request, race: races.Race, status: int
    ) -> None:
        """Record the end of a stream; `status` is 0 if it is incomplete."""
        current = race.current
        assert current is not None
        if status:
            is_delimited = current.framing is not exchanges.Framing.CLOSE
            self._sender.end_attempt(current, is_delimited)
            self._sender.note_success(current)
        race.cancel()
        self._sender.note_answer(request, current, status)
