"""The configuration in force at one instance; it only ever moves forward."""

from __future__ import annotations

__all__ = ["Configuration"]

import logging

import trio
from pydantic import ValidationError

from ..kernel.ids import Generation
from .objects import Catalog, ObjectSet
from .publishing import make_digest

log = logging.getLogger(__name__)


class Configuration:
    """Hold the highest generation seen, with its content for others to fetch."""

    def __init__(self) -> None:
        self.generation = Generation(0)
        self.digest = ""
        self.content = b""
        self.catalog = Catalog(ObjectSet())
        self._adopted = trio.Event()

    def adopt(self, generation: Generation, digest: str, content: bytes) -> bool:
        """Put a set in force unless it is no newer or not what its hash says.

        :returns: whether it came into force.
        """
        if generation <= self.generation or make_digest(content) != digest:
            return False
        try:
            objects = ObjectSet.model_validate_json(content)
        except ValidationError:
            log.exception("generation %s cannot be read", generation)
            return False
        self.generation = generation
        self.digest = digest
        self.content = content
        self.catalog = Catalog(objects)
        self._adopted.set()
        self._adopted = trio.Event()
        return True

    async def wait_adoption(self) -> None:
        """Return when the next set comes into force."""
        await self._adopted.wait()
