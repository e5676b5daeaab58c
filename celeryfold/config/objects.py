"""The configuration objects that operators submit, and look-ups over a set of them."""

from __future__ import annotations

__all__ = [
    "Catalog",
    "ConfirmScope",
    "ObjectSet",
    "Place",
    "ReadRule",
    "Service",
    "SlotDefinition",
    "UpstreamGroup",
]

from enum import Enum

import xxhash
from pydantic import BaseModel, ConfigDict, Field

from ..kernel.ids import GroupId, PlaceId, RegionId, ServiceId, SlotId

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"


class _SubmittedObject(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Place(_SubmittedObject):
    """A data centre and the region that it belongs to."""

    name: PlaceId = Field(pattern=NAME_PATTERN)
    region: RegionId = Field(pattern=NAME_PATTERN)


class SlotDefinition(_SubmittedObject):
    """An upstream server of a group."""

    name: SlotId = Field(pattern=NAME_PATTERN)
    place: PlaceId
    address: str = Field(pattern=r"^[0-9.]+:[0-9]{1,5}$")
    connection_limit: int = Field(16, ge=1, le=10_000)
    driver: str = "http"


class ConfirmScope(Enum):
    """Which slots must hold a write before it is acknowledged.

    ``REGION`` selects those in the region of the group's first slot.
    """

    REGION = "region"
    ALL = "all"


class UpstreamGroup(_SubmittedObject):
    """A replicated database; its first slot is the primary of the first term."""

    name: GroupId = Field(pattern=NAME_PATTERN)
    slots: tuple[SlotDefinition, ...] = Field(min_length=1)
    confirm: ConfirmScope = ConfirmScope.REGION


class ReadRule(_SubmittedObject):
    """Limits on the staleness of reads that do not state their own.

    :param accepted_age_ms: maximum age of the data, in milliseconds.
    :param local_wait_ms: how long a read waits for a lagging slot before it tries the
        next one, in milliseconds.
    """

    name: str = Field(pattern=NAME_PATTERN)
    accepted_age_ms: int = Field(ge=0, le=86_400_000)
    local_wait_ms: int = Field(20, ge=0, le=10_000)


class Service(_SubmittedObject):
    """A named service, whose keys are distributed over its upstream groups.

    :param deadline_ms: deadline of requests that do not state their own, in
        milliseconds.
    """

    name: ServiceId = Field(pattern=NAME_PATTERN)
    upstream_groups: tuple[GroupId, ...] = Field(min_length=1)
    read_rule: str
    weight: int = Field(1, ge=1, le=1000)
    deadline_ms: int = Field(2000, ge=10, le=600_000)


class ObjectSet(_SubmittedObject):
    """All configuration objects, as they are submitted and published together."""

    places: tuple[Place, ...] = ()
    read_rules: tuple[ReadRule, ...] = ()
    upstream_groups: tuple[UpstreamGroup, ...] = ()
    services: tuple[Service, ...] = ()


class Catalog:
    """Look-ups over an object set.

    :param objects: a set that has passed the check.
    """

    def __init__(self, objects: ObjectSet) -> None:
        self.objects = objects
        self.regions = {place.name: place.region for place in objects.places}
        self.read_rules = {rule.name: rule for rule in objects.read_rules}
        self.groups = {group.name: group for group in objects.upstream_groups}
        self.services = {service.name: service for service in objects.services}
        self.slots: dict[SlotId, SlotDefinition] = {}
        self.group_of_slot: dict[SlotId, GroupId] = {}
        for group in objects.upstream_groups:
            for slot in group.slots:
                self.slots[slot.name] = slot
                self.group_of_slot[slot.name] = group.name

    def find_group(self, service: Service, key: str) -> UpstreamGroup:
        """Return the upstream group that stores a key of a service."""
        index = xxhash.xxh64_intdigest(key.encode()) % len(service.upstream_groups)
        return self.groups[service.upstream_groups[index]]

    def find_confirming_slots(self, group: UpstreamGroup) -> tuple[SlotId, ...]:
        """Return the slots that may confirm writes, in the order of the definition."""
        if group.confirm is ConfirmScope.ALL:
            return tuple(slot.name for slot in group.slots)
        region = self.regions[group.slots[0].place]
        return tuple(
            slot.name for slot in group.slots if self.regions[slot.place] == region
        )
