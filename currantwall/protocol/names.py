"""Header names that the platform's adapter gives to the transport.

The transport knows what each header means; the adapter knows its name on
the platform.
"""

import msgspec

__all__ = ["HeaderNames"]


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the headers that the transport reads or sets.

    Attributes:
        attempt: Id of one attempt of a caller; upstreams echo it.
        budget: Milliseconds that the sender will still wait (a duration,
            not a point in time).
        instance: Id of the upstream that a request is meant for.
        organisation: Organisation to which the caller's key belongs.
        not_run: Set by an upstream that did not run the request.
        seal: Upstream's signature of its answer.
        model: Model that a request asks for.
        tokens: Tokens of a request's prompt and, at most, of its answer.
        prompt: Parts of a request's prompt, in order, as ID:TOKENS entries
            separated by commas.
        last_event: Id of the last event that a caller got of a stream.
        load: Number of requests in progress at an upstream.
        faulty: Replica member that prevented a request from running.
        priority: Priority of a request at an upstream; 0 is the highest.
        limit: Requests a second that an upstream takes from all nodes.
        leaving: Set by an upstream that is going to exit.
        cold: Milliseconds for which an upstream stays cold.
    """

    attempt: str
    budget: str
    instance: str
    organisation: str
    not_run: str
    seal: str
    model: str
    tokens: str
    prompt: str
    last_event: str
    load: str
    faulty: str
    priority: str
    limit: str
    leaving: str
    cold: str
