"""Identifier types.

They let a type checker reject, for example, a node's id where an
instance's id is expected, and cost nothing at run time.
"""

import typing

__all__ = [
    "Address",
    "AttemptId",
    "CallId",
    "ConnectionId",
    "DatacentreName",
    "DomainName",
    "Epoch",
    "Generation",
    "Incarnation",
    "InstanceId",
    "KeyText",
    "NodeId",
    "OrganisationName",
    "PartId",
    "ProfileName",
    "ReplicaId",
    "ServiceName",
    "Version",
]

# A ``host:port`` text that `state.addresses` has parsed.
Address = typing.NewType("Address", str)
AttemptId = typing.NewType("AttemptId", str)
CallId = typing.NewType("CallId", int)
ConnectionId = typing.NewType("ConnectionId", int)
DatacentreName = typing.NewType("DatacentreName", str)
DomainName = typing.NewType("DomainName", str)
InstanceId = typing.NewType("InstanceId", str)
KeyText = typing.NewType("KeyText", str)
NodeId = typing.NewType("NodeId", str)
OrganisationName = typing.NewType("OrganisationName", str)
PartId = typing.NewType("PartId", str)
ProfileName = typing.NewType("ProfileName", str)
ReplicaId = typing.NewType("ReplicaId", str)
ServiceName = typing.NewType("ServiceName", str)

# Number of a lease of a fabric domain, incremented for each new holder; the
# fencing token of orders.
Epoch = typing.NewType("Epoch", int)
# Number of a replica's member set; a new set gets a higher one.
Generation = typing.NewType("Generation", int)
# Start of a process, in microseconds of its own wall clock.
Incarnation = typing.NewType("Incarnation", int)
# Revision that the platform's object API gave to a stored object.
Version = typing.NewType("Version", int)
