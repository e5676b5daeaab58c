"""Outcome records: answers by idempotency key, stored in the caller's database."""

from __future__ import annotations

__all__ = [
    "CANCELLED",
    "OUTCOME_TABLE",
    "find_outcome",
    "insert_outcome",
    "read_outcome",
    "update_outcome",
]

import msgspec

from ..drivers.slot import ResultSet, Statement
from ..exceptions import RequestFailure
from ..kernel.decoding import decode_json
from ..kernel.errors import ErrorKind

CANCELLED = "cancelled"

OUTCOME_TABLE = (
    "CREATE TABLE IF NOT EXISTS celeryfold_outcomes ("
    "outcome_key TEXT PRIMARY KEY, digest TEXT NOT NULL, answer TEXT NOT NULL)"
)


def insert_outcome(key: str, digest: str) -> Statement:
    """Return the statement that claims a key; it changes no row if the key is taken."""
    text = (
        "INSERT INTO celeryfold_outcomes (outcome_key, digest, answer) "
        "VALUES (?, ?, '') ON CONFLICT DO NOTHING"
    )
    return Statement(text, (key, digest))


def update_outcome(key: str, result: ResultSet) -> Statement:
    """Return the statement that records the answer to a claimed key."""
    answer = msgspec.json.encode(result).decode()
    text = "UPDATE celeryfold_outcomes SET answer = ? WHERE outcome_key = ?"
    return Statement(text, (answer, key))


def find_outcome(key: str) -> Statement:
    """Return the statement that looks up a key."""
    text = "SELECT digest, answer FROM celeryfold_outcomes WHERE outcome_key = ?"
    return Statement(text, (key,))


def read_outcome(found: ResultSet, digest: str | None) -> ResultSet | None:
    """Return the recorded answer to a key, or None if the key is not taken.

    :param found: result of the statement made by :func:`find_outcome`.
    :param digest: hash of the request for which the key is used now, or None to accept
        any request.
    :raises RequestFailure: ``key_cancelled`` if the key was cancelled, ``key_reused``
        if it was used for another request.
    """
    if not found.rows:
        return None
    known_digest, answer = found.rows[0]
    if known_digest == CANCELLED:
        text = "the key was cancelled before it ran; use a new key"
        raise RequestFailure(ErrorKind.KEY_CANCELLED, text)
    if digest is not None and known_digest != digest:
        text = "the key was used for another statement; use a new key"
        raise RequestFailure(ErrorKind.KEY_REUSED, text)
    if not answer:
        return ResultSet()
    return decode_json(str(answer), ResultSet)
