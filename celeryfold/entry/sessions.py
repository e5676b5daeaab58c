"""Signed session tokens: which acknowledged writes a caller has to see."""

from __future__ import annotations

__all__ = ["SessionPositions", "SessionTokens"]

from typing import NewType

import itsdangerous
import msgspec

from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import GroupId, Position, Term

SALT = "celeryfold-session"
MAX_GROUPS = 256

SessionPositions = NewType("SessionPositions", dict[GroupId, tuple[Term, Position]])

_decoder = msgspec.msgpack.Decoder(dict[str, tuple[int, int]])


class SessionTokens:
    """Read and write tokens signed with the fleet's secret.

    :param secret: the same on all instances.
    """

    def __init__(self, secret: bytes) -> None:
        self._serializer = itsdangerous.URLSafeSerializer(
            secret, salt=SALT, serializer=_MsgpackSerializer()
        )

    def read(self, token: str) -> SessionPositions:
        """Return what a token says its caller has written.

        :raises RequestFailure: where it is not one of ours.
        """
        if not token:
            return SessionPositions({})
        try:
            return SessionPositions(self._serializer.loads(token))
        except (itsdangerous.BadData, msgspec.DecodeError) as error:
            text = "session: not a token of this system; send none to start anew"
            raise RequestFailure(ErrorKind.INVALID_TOKEN, text) from error

    def write(self, positions: SessionPositions) -> str:
        """Return a token."""
        if not positions:
            return ""
        token = self._serializer.dumps(positions)
        return token.decode("ascii") if isinstance(token, bytes) else token

    @staticmethod
    def add(
        positions: SessionPositions, group: GroupId, term: Term, position: Position
    ) -> SessionPositions:
        """Return what is seen once a write was acknowledged."""
        if (term, position) <= positions.get(group, (0, 0)):
            return positions
        return SessionPositions({**positions, group: (term, position)})


class _MsgpackSerializer:
    def dumps(self, value: SessionPositions) -> bytes:
        return msgspec.msgpack.encode(value)

    def loads(self, data: bytes) -> dict[str, tuple[int, int]]:
        return _decoder.decode(data)
