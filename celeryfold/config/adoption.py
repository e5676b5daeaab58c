"""The configuration in force at one instance; its generation never decreases."""

from __future__ import annotations

__all__ = ["Configuration"]

import logging
from collections.abc import Mapping

import trio
from pydantic import ValidationError

from ..exceptions import Unreadable
from ..kernel.decoding import decode_json
from ..kernel.ids import Generation
from .objects import Catalog, ObjectSet
from .parts import Manifest, compute_digest, join_set

log = logging.getLogger(__name__)


class Configuration:
    """The newest configuration adopted, with its parts for other instances to fetch."""

    def __init__(self) -> None:
        self.generation = Generation(0)
        self.digest = ""
        self.blobs: dict[str, bytes] = {}
        self.catalog = Catalog(ObjectSet())
        self._adopted = trio.Event()

    def list_missing_parts(self, manifest: Manifest) -> list[str]:
        """Return the digests of the manifest's parts that this instance lacks."""
        return [digest for digest in manifest.parts if digest not in self.blobs]

    def adopt(
        self,
        generation: Generation,
        encoded_manifest: bytes,
        fetched: Mapping[str, bytes],
    ) -> bool:
        """Put an object set in force if it is newer, complete and valid.

        :param encoded_manifest: the manifest as JSON.
        :param fetched: the parts that this instance lacked, by digest.
        :returns: False if the generation is not newer, a part does not match its
            digest, or the set is incomplete or invalid.
        """
        if generation <= self.generation:
            return False
        if any(compute_digest(content) != name for name, content in fetched.items()):
            return False
        try:
            manifest = decode_json(encoded_manifest, Manifest)
            parts = {**self.blobs, **fetched}
            kept = {digest: parts[digest] for digest in manifest.parts}
            objects = join_set(manifest, kept)
        except (KeyError, Unreadable, ValidationError):
            log.exception(
                "configuration generation %s is incomplete or invalid", generation
            )
            return False
        self.generation = generation
        self.digest = compute_digest(encoded_manifest)
        self.blobs = kept | {self.digest: encoded_manifest}
        self.catalog = Catalog(objects)
        self._adopted.set()
        self._adopted = trio.Event()
        return True

    async def wait_configured(self) -> None:
        """Wait until a first object set is in force."""
        while not self.generation:
            await self._adopted.wait()

    async def wait_for_adoption(self) -> None:
        """Wait until the next object set is in force."""
        await self._adopted.wait()
