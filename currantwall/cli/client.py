"""Calls of the operators' tool to an entry process."""

import enum
import time
import typing

import msgspec
import result
import urllib3

from currantwall.protocol import signing

__all__ = ["Client", "ExitCode", "Problem"]

# Seconds.
_TIMEOUT = 15.0
Value = typing.TypeVar("Value")


class ExitCode(enum.IntEnum):
    """Exit codes of the tool; scripts rely on them.

    Attributes:
        OK: Done.
        FAILED: Refused or failed.
        USAGE: Bad usage or file.
        NOT_IN_FORCE: Stored, but not yet in force everywhere.
        UNREACHABLE: The entry process cannot be reached.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    NOT_IN_FORCE = 3
    UNREACHABLE = 4


class Problem(msgspec.Struct, frozen=True):
    """Why the tool cannot go on: an exit code and a message."""

    code: ExitCode
    message: str


class Client:
    """Calls one entry process."""

    def __init__(self, entry: str, key: str) -> None:
        self.entry = entry
        self._key = key
        self._pool = urllib3.PoolManager(retries=False)

    def with_entry(self, entry: str) -> "Client":
        """Return a client for another entry process with the same key."""
        return Client(entry, self._key)

    def get(
        self, path: str, kind: type[Value]
    ) -> result.Result[Value, Problem]:
        """Return the answer to a GET, decoded as `kind`."""
        return self.call("GET", path, b"", kind)

    def call(
        self, method: str, path: str, body: bytes, kind: type[Value]
    ) -> result.Result[Value, Problem]:
        """Return the answer to a call, decoded as `kind`.

        A body that decodes as `kind` is an answer whatever the status
        code: the outcome is in the decoded value.
        """
        try:
            response = self._pool.request(
                method,
                f"http://{self.entry}{path}",
                body=body or None,
                headers=self._sign(method, path, body),
                timeout=_TIMEOUT,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            message = f"{self.entry}: cannot be reached: {error}"
            return result.Err(Problem(ExitCode.UNREACHABLE, message))
        try:
            return result.Ok(msgspec.json.decode(response.data, type=kind))
        except msgspec.MsgspecError:
            text = response.data.decode("utf-8", "replace").strip()
            message = f"{self.entry}: status {response.status}: {text}"
            return result.Err(Problem(ExitCode.FAILED, message))

    def _sign(self, method: str, path: str, body: bytes) -> dict[str, str]:
        if not self._key:
            return {}
        value = signing.sign(self._key, time.time(), method, path, body)
        return {signing.HEADER: value}
