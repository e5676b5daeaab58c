"""Distinct types for identifiers and numbers, so that mypy finds mix-ups."""

from __future__ import annotations

__all__ = [
    "AccountId",
    "Generation",
    "GroupId",
    "InstanceId",
    "LeaseId",
    "PlaceId",
    "Position",
    "RegionId",
    "RequestId",
    "ServiceId",
    "SlotId",
    "Term",
    "TransactionId",
    "UpstreamId",
    "make_request_id",
]

import secrets
from typing import NewType

AccountId = NewType("AccountId", str)
InstanceId = NewType("InstanceId", str)
LeaseId = NewType("LeaseId", int)
PlaceId = NewType("PlaceId", str)
RegionId = NewType("RegionId", str)
ServiceId = NewType("ServiceId", str)
GroupId = NewType("GroupId", str)
SlotId = NewType("SlotId", str)
RequestId = NewType("RequestId", str)
TransactionId = NewType("TransactionId", str)
UpstreamId = NewType("UpstreamId", str)
Term = NewType("Term", int)
Position = NewType("Position", int)
Generation = NewType("Generation", int)


def make_request_id() -> RequestId:
    """Return a new random request id."""
    return RequestId(secrets.token_hex(8))
