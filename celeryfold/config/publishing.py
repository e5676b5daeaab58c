"""Publish object sets; one pointer in the store names the set in force."""

from __future__ import annotations

__all__ = [
    "CURRENT_KEY",
    "Conflict",
    "Pointer",
    "SubmitFailure",
    "Unavailable",
    "find_differences",
    "load_blob",
    "load_current",
    "publish",
    "read_pointer",
]

import secrets
from dataclasses import dataclass

import msgspec
import trio
from returns.result import Failure, Result, Success

from ..drivers.store import Store, StoreConflict, StoreEntry, StoreUnavailable
from ..kernel.decoding import decode_json
from ..kernel.ids import Generation
from .objects import ObjectSet
from .parts import Manifest, SplitSet, join_set, split_set

CURRENT_KEY = "celeryfold/current"
BLOB_PREFIX = "celeryfold-sets/"
N_READ_BACK_ATTEMPTS = 5
# Instances notice a restore of the store within the retry interval of their watch,
# 0.5 s, and write back what it has lost.
WRITE_BACK_POLL_S = 0.5
N_WRITE_BACK_POLLS = 8


class Pointer(msgspec.Struct, frozen=True):
    """The store entry that names the object set in force.

    :param digest: hash of the set's manifest.
    :param submission: random id, by which a submitter recognizes its own write when it
        reads the pointer back.
    :param era: the era of the store in which it was written.
    """

    generation: Generation
    digest: str
    submission: str
    era: int = 0


@dataclass(frozen=True)
class Conflict:
    """The submission failed because another generation is in force.

    :param current: the pointer now in force.
    :param changed: names of the objects that differ between the two sets.
    """

    current: Pointer
    changed: tuple[str, ...] = ()


@dataclass(frozen=True)
class Unavailable:
    """The submission failed, or its outcome is unknown; the store gave no answer.

    :param text: what is known of the outcome.
    """

    text: str


SubmitFailure = Conflict | Unavailable


def read_pointer(entry: StoreEntry | None) -> Pointer | None:
    """Return the pointer in a store entry; None if the entry does not exist.

    :raises Unreadable: if the entry cannot be decoded.
    """
    if entry is None:
        return None
    return decode_json(entry.value, Pointer)


async def load_blob(store: Store, digest: str) -> bytes | None:
    """Return a manifest or a part by its hash; None if the store does not have it.

    :raises StoreUnavailable: if the store does not answer.
    """
    entry = await store.get(BLOB_PREFIX + digest)
    return entry.value if entry is not None else None


async def publish(
    store: Store, objects: ObjectSet, based_on: Generation | None = None
) -> Result[Pointer, SubmitFailure]:
    """Publish an object set that has passed the check.

    :param based_on: the generation that the submission was made from; publishing fails
        if another one is in force. None skips this check.
    :returns: the pointer now in force, or the reason for the failure.
    """
    submission = secrets.token_hex(8)
    split = split_set(objects)
    try:
        current, pointer = await _read_current(store)
        generation = pointer.generation if pointer else Generation(0)
        if based_on is not None and generation != based_on and pointer is not None:
            return Failure(await _describe_conflict(store, objects, pointer))
        await _store_blobs(store, split, await _list_published_parts(store, pointer))
    except StoreUnavailable as error:
        return Failure(Unavailable(f"nothing was published: {error}"))
    following = Generation(generation + 1)
    proposed = Pointer(following, split.digest, submission, store.era)
    value = msgspec.json.encode(proposed)
    try:
        await store.compare_and_swap(
            CURRENT_KEY, current.revision if current else 0, value
        )
    except (StoreConflict, StoreUnavailable):
        return await _read_back_pointer(store, proposed, objects)
    return Success(proposed)


async def _read_current(store: Store) -> tuple[StoreEntry | None, Pointer | None]:
    """Return the pointer in force with its entry.

    After a restore of the store from an older copy, the running instances first write
    back the newest pointer. Without instances it is taken as it is after a time.

    :raises StoreUnavailable: if the store does not answer.
    """
    for _ in range(N_WRITE_BACK_POLLS):
        entry = await store.get(CURRENT_KEY)
        pointer = read_pointer(entry)
        if pointer is None or pointer.era == store.era:
            break
        await trio.sleep(WRITE_BACK_POLL_S)
    return entry, pointer


async def _list_published_parts(
    store: Store, pointer: Pointer | None
) -> frozenset[str]:
    """Return the digests of the parts in force, which need not be written again."""
    if pointer is None:
        return frozenset()
    encoded_manifest = await load_blob(store, pointer.digest)
    if encoded_manifest is None:
        return frozenset()
    return frozenset(decode_json(encoded_manifest, Manifest).parts)


async def _store_blobs(store: Store, split: SplitSet, known: frozenset[str]) -> None:
    for digest, content in split.blobs.items():
        if digest in known:
            continue
        try:
            await store.compare_and_swap(BLOB_PREFIX + digest, 0, content)
        except StoreConflict:
            continue


async def _read_back_pointer(
    store: Store, proposed: Pointer, objects: ObjectSet
) -> Result[Pointer, SubmitFailure]:
    for _ in range(N_READ_BACK_ATTEMPTS):
        try:
            pointer = read_pointer(await store.get(CURRENT_KEY))
        except StoreUnavailable:
            continue
        if pointer is None or pointer.generation < proposed.generation:
            break
        if pointer.submission == proposed.submission:
            return Success(proposed)
        return Failure(await _describe_conflict(store, objects, pointer))
    text = "the outcome is not known; run status before submitting again"
    return Failure(Unavailable(text))


async def _describe_conflict(
    store: Store, objects: ObjectSet, pointer: Pointer
) -> Conflict:
    try:
        theirs = await _load_set(store, pointer.digest)
    except StoreUnavailable:
        theirs = None
    if theirs is None:
        return Conflict(pointer)
    return Conflict(pointer, find_differences(objects, theirs))


async def load_current(store: Store) -> ObjectSet | None:
    """Return the object set in force, or None if none has been published.

    :raises StoreUnavailable: if the store does not answer.
    """
    pointer = read_pointer(await store.get(CURRENT_KEY))
    return await _load_set(store, pointer.digest) if pointer else None


async def _load_set(store: Store, digest: str) -> ObjectSet | None:
    encoded_manifest = await load_blob(store, digest)
    if encoded_manifest is None:
        return None
    manifest = decode_json(encoded_manifest, Manifest)
    blobs: dict[str, bytes] = {}
    for part in manifest.parts:
        content = await load_blob(store, part)
        if content is None:
            return None
        blobs[part] = content
    return join_set(manifest, blobs)


def find_differences(ours: ObjectSet, theirs: ObjectSet) -> tuple[str, ...]:
    """Return the objects that differ between two sets, as ``section.name``."""
    changed = []
    for section in type(ours).model_fields:
        our_items = {item.name: item for item in getattr(ours, section)}
        their_items = {item.name: item for item in getattr(theirs, section)}
        names = sorted(our_items.keys() | their_items.keys())
        changed += [
            f"{section}.{name}"
            for name in names
            if our_items.get(name) != their_items.get(name)
        ]
    return tuple(changed)
