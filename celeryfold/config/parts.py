"""Split an object set into parts, so that a small change transfers a small part.

A part holds the objects whose names hash to its index. The manifest lists the parts by
content hash; the hash of the manifest identifies the set.
"""

from __future__ import annotations

__all__ = ["Manifest", "SplitSet", "compute_digest", "join_set", "split_set"]

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
import xxhash

from ..kernel.decoding import decode_json
from .objects import ObjectSet

TARGET_PART_BYTES = 16_384
MAX_PARTS = 256


class Manifest(msgspec.Struct, frozen=True):
    """The parts of an object set, by content hash."""

    parts: tuple[str, ...]


@dataclass(frozen=True)
class SplitSet:
    """An object set as it is stored and sent.

    :param digest: hash of the manifest; identifies the set.
    :param blobs: the encoded manifest and all parts, by content hash.
    """

    digest: str
    manifest: Manifest
    blobs: Mapping[str, bytes]

    @property
    def n_bytes(self) -> int:
        """Size of the manifest and all parts."""
        return sum(len(blob) for blob in self.blobs.values())


def compute_digest(content: bytes) -> str:
    """Return the content hash under which a blob is stored."""
    return xxhash.xxh3_128_hexdigest(content)


def _find_part_index(section: str, name: str, n_parts: int) -> int:
    return xxhash.xxh64_intdigest(f"{section}/{name}".encode()) % n_parts


def _choose_n_parts(n_bytes: int) -> int:
    n_parts = 1
    while n_parts < MAX_PARTS and n_bytes / n_parts > TARGET_PART_BYTES:
        n_parts *= 2
    return n_parts


def split_set(objects: ObjectSet) -> SplitSet:
    """Split an object set; the result does not depend on the order of its objects."""
    content = objects.model_dump(mode="json")
    n_parts = _choose_n_parts(len(msgspec.json.encode(content)))
    parts: list[dict[str, list[Any]]] = [
        {section: [] for section in content} for _ in range(n_parts)
    ]
    for section, items in content.items():
        for item in sorted(items, key=lambda item: str(item["name"])):
            parts[_find_part_index(section, item["name"], n_parts)][section].append(
                item
            )
    encoded = [msgspec.json.encode(part) for part in parts]
    digests = tuple(compute_digest(part) for part in encoded)
    manifest = Manifest(digests)
    encoded_manifest = msgspec.json.encode(manifest)
    digest = compute_digest(encoded_manifest)
    blobs = dict(zip(digests, encoded, strict=True))
    return SplitSet(digest, manifest, blobs | {digest: encoded_manifest})


def join_set(manifest: Manifest, blobs: Mapping[str, bytes]) -> ObjectSet:
    """Return the object set that a manifest and its parts describe.

    :param blobs: at least the parts in the manifest, by content hash.
    :raises KeyError: if a part, or the name of an item, is missing.
    :raises Unreadable: if a part cannot be decoded.
    :raises pydantic.ValidationError: if the parts do not form a valid set.
    """
    merged: dict[str, list[Any]] = {}
    for digest in manifest.parts:
        part = decode_json(blobs[digest], dict[str, list[dict[str, Any]]])
        for section, items in part.items():
            merged.setdefault(section, []).extend(items)
    for items in merged.values():
        items.sort(key=lambda item: str(item["name"]))
    return ObjectSet.model_validate(merged)
