"""What celeryfold needs of the platform's lagging list of instances and slots."""

from __future__ import annotations

__all__ = ["InstanceList", "ListUnavailable", "ListedInstance", "Listing"]

from abc import ABC, abstractmethod

import msgspec

from ..exceptions import CeleryfoldError
from ..kernel.ids import InstanceId, PlaceId, SlotId


class ListedInstance(msgspec.Struct, frozen=True):
    """Name one instance as the platform lists it."""

    instance_id: InstanceId
    address: str
    place: PlaceId
    leaving: bool = False


class Listing(msgspec.Struct, frozen=True):
    """Hold one answer of the list; it lags behind the truth."""

    instances: tuple[ListedInstance, ...] = ()
    leaving_slots: tuple[SlotId, ...] = ()


class ListUnavailable(CeleryfoldError):
    """The list did not answer."""


class InstanceList(ABC):
    """The platform's list of live and leaving instances and slots."""

    @abstractmethod
    async def fetch(self) -> Listing:
        """Return the list as it stands.

        :raises ListUnavailable: where it does not answer.
        """

    async def close(self) -> None:
        """Release what the driver holds."""
