"""Interface of the instance in which a home runs."""

from __future__ import annotations

__all__ = ["HomePorts"]

from abc import ABC, abstractmethod

from ..config.objects import Catalog
from ..drivers.slot import Slot
from ..groups.freshness import Sample
from ..kernel.ids import GroupId, InstanceId, SlotId


class HomePorts(ABC):
    """Access to drivers, configuration and other instances."""

    instance_id: InstanceId

    @abstractmethod
    def find_slot(self, slot: SlotId) -> Slot:
        """Return the driver of a slot."""

    @abstractmethod
    def find_catalog(self) -> Catalog:
        """Return the configuration in force."""

    @abstractmethod
    def find_leaving(self) -> frozenset[SlotId]:
        """Return the slots that receive no new work."""

    @abstractmethod
    def is_placed_here(self, slot: SlotId) -> bool:
        """Return whether a slot is placed on this instance."""

    @abstractmethod
    async def fetch_sample(self, group: GroupId) -> Sample:
        """Fetch a sample from the home of a group's primary.

        :raises RequestFailure: if the home of the primary is unknown or has no sample.
        """
