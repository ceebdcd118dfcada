"""Header names that the platform's adapter gives to the transport.

The product knows what a header means, the adapter how it is spelled.
"""

import msgspec

__all__ = ["HeaderNames"]


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Spelling of the headers that the transport reads or sets.

    Attributes:
        attempt: Id of one attempt of a caller; upstreams echo it.
        budget: Milliseconds that the sender will still wait.
        instance: Id of the upstream that a request is meant for.
        organisation: Organisation that holds the caller's key.
        not_run: Set by an upstream that did not run the request.
        seal: Upstream's signature of its answer.
        model: Model that a request asks for.
        last_event: Id of the last event a caller has of a stream.
        load: Requests in work at an upstream.
        faulty: Member of a replica that kept a request from running.
        priority: Rank of a request at an upstream, 0 first.
    """

    attempt: str
    budget: str
    instance: str
    organisation: str
    not_run: str
    seal: str
    model: str
    last_event: str
    load: str
    faulty: str
    priority: str
