"""Reports and orders of upstreams, as JSON over HTTP."""

import msgspec

from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.state import instances

__all__ = [
    "ORDERS_PATH",
    "REPORT_PATH",
    "decode_order",
    "decode_report",
    "encode_order",
    "map_order_status",
]

REPORT_PATH = "/v1/report"
ORDERS_PATH = "/v1/orders"

_FENCED_STATUS = 409
_OK_STATUS = 200


def decode_report(data: bytes) -> instances.Report:
    """Return the report in a JSON body; raises msgspec.MsgspecError."""
    return msgspec.json.decode(data, type=instances.Report)


def encode_order(order: actions.Order) -> bytes:
    """Return the JSON of an order."""
    return msgspec.json.encode(order)


def decode_order(data: bytes) -> actions.Order:
    """Return the order in a JSON body; raises msgspec.MsgspecError."""
    return msgspec.json.decode(data, type=actions.Order)


def map_order_status(status: int) -> messages.OrderOutcome:
    """Return the outcome of an order from an engine's status code."""
    if status == _OK_STATUS:
        return messages.OrderOutcome.TAKEN
    if status == _FENCED_STATUS:
        return messages.OrderOutcome.FENCED
    return messages.OrderOutcome.REFUSED
