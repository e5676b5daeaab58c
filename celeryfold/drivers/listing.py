"""Interface to the deployment's list of instances and slots, which may be outdated."""

from __future__ import annotations

__all__ = ["InstanceList", "ListUnavailable", "ListedInstance", "Listing"]

from abc import ABC, abstractmethod

import msgspec

from ..exceptions import CeleryfoldError
from ..kernel.ids import InstanceId, PlaceId, SlotId


class ListedInstance(msgspec.Struct, frozen=True):
    """Instance as it stands in the list."""

    instance_id: InstanceId
    address: str
    place: PlaceId
    leaving: bool = False


class Listing(msgspec.Struct, frozen=True):
    """Contents of the list, which lag behind the actual state."""

    instances: tuple[ListedInstance, ...] = ()
    leaving_slots: tuple[SlotId, ...] = ()


class ListUnavailable(CeleryfoldError):
    """The list gave no valid response."""


class InstanceList(ABC):
    """List of the live and leaving instances and slots of the deployment."""

    @abstractmethod
    async def fetch(self) -> Listing:
        """Return the current list.

        :raises ListUnavailable: if the list does not respond.
        """

    async def close(self) -> None:
        """Release the resources of the driver."""
