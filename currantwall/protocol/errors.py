"""Errors of calls to other processes: peer, step and kind of failure."""

import enum

import msgspec

__all__ = ["CallError", "Failure", "Step"]


class Step(enum.Enum):
    """The step at which a call failed."""

    CONNECT = "connect"
    SEND = "send"
    HEADERS = "headers"
    BODY = "body"
    DECODE = "decode"


class Failure(enum.Enum):
    """How a call failed."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    CLOSED = "closed"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


class CallError(msgspec.Struct, frozen=True):
    """A failed call to another process."""

    step: Step
    peer: str
    failure: Failure
    detail: str = ""

    def __str__(self) -> str:
        text = f"{self.peer}: {self.failure.value} at {self.step.value}"
        return f"{text}: {self.detail}" if self.detail else text

    @property
    def may_have_run(self) -> bool:
        """Return whether the peer may have acted on the call.

        Only a call that failed to connect is known to have sent nothing.
        """
        return self.step is not Step.CONNECT
