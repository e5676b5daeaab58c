"""The record in the store that the holder of a duty leaves to the next holder."""

from __future__ import annotations

__all__ = ["DutyRecord", "DutyRecordStore", "MemberAddress"]

import logging

import msgspec

from ..exceptions import CeleryfoldError, Unreadable
from ..kernel.decoding import decode_json
from ..kernel.ids import UpstreamId
from .final_positions import FinalPosition
from .leases import Duty
from .members import BornMs, Member
from .store import (
    CoordinationStore,
    Expectation,
    ItemWrite,
    StoreRefused,
    StoreUnavailable,
)

log = logging.getLogger(__name__)


class MemberAddress(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Where a member was last listed, so that the next holder can ask it.

    :param address: the host and port for connections.
    """

    upstream_id: UpstreamId
    born_ms: BornMs
    address: str

    @property
    def member(self) -> Member:
        """The member that has this address."""
        return Member(self.upstream_id, self.born_ms)


class DutyRecord(msgspec.Struct, frozen=True):
    """The members of a service and whether a failover attempt may be open.

    :param members: the members that may have acknowledged commits.
    :param turn_of: the instance that may have requested a promotion within the last
        lease, or empty.
    :param as_of: the revision of the list of upstreams that the holder had seen.
    :param is_settled: whether no promotion call that was sent can depose the primary
        any more. Records of earlier versions do not tell.
    :param dropped: the members that were dropped and may come back.
    :param stale: those of them whose entries had not lapsed.
    :param resuming: the members to which a RESUME is sent or had no answer, so that it
        may be executed later.
    :param addresses: where members were listed, and dropped ones that are still asked.
        Records of earlier versions have none.
    :param leaving: the members that have announced that they leave.
    :param final_positions: the positions after which members receive nothing.
    :param targets: the upstreams that open promotion calls may name while the calls are
        not settled, or None if that is not known.
    """

    members: tuple[Member, ...] = ()
    turn_of: str = ""
    as_of: int | None = None
    is_settled: bool = False
    dropped: tuple[Member, ...] = ()
    resuming: tuple[Member, ...] = ()
    addresses: tuple[MemberAddress, ...] = ()
    leaving: tuple[Member, ...] = ()
    final_positions: tuple[FinalPosition, ...] = ()
    targets: tuple[UpstreamId, ...] | None = None
    stale: tuple[Member, ...] = ()

    def is_covered_by(self, other: DutyRecord) -> bool:
        """Return whether another record tells the next holder the same.

        Its revision, further addresses and further targets make no difference.
        """
        same = msgspec.structs.replace(
            self, as_of=other.as_of, addresses=other.addresses, targets=other.targets
        )
        if same != other or not set(self.addresses) <= set(other.addresses):
            return False
        if other.targets is None:
            return True
        return self.targets is not None and set(self.targets) <= set(other.targets)


NO_RECORD = DutyRecord(is_settled=True)


class DutyRecordStore:
    """Reads and writes the record; a write succeeds only while the duty is held.

    :param key: the store key of the record.
    """

    def __init__(self, key: str, duty: Duty, store: CoordinationStore) -> None:
        self._key = key
        self._duty = duty
        self._store = store
        self._revision = 0
        # Whether a write without an answer may still be applied. It cannot be any more
        # once the record has another revision.
        self._may_be_overwritten = False
        self.record = NO_RECORD

    async def read(self) -> DutyRecord:
        """Return the stored record, or an empty one if it is absent or unreadable.

        An unreadable one may hide a promotion call that is still open.

        :raises StoreUnavailable: if the store does not answer.
        """
        item = await self._store.get(self._key)
        self.record = NO_RECORD
        self._revision = item.revision if item is not None else 0
        if item is not None:
            self.record = DutyRecord()
            try:
                self.record = decode_json(item.value, DutyRecord)
            except Unreadable as error:
                extra = {"key": self._key, "reason": str(error)}
                log.error("unreadable duty record", extra=extra)
        return self.record

    async def update(self, record: DutyRecord) -> None:
        """Write the record unless the stored one covers it.

        :raises CeleryfoldError: if the record may not have been written.
        """
        if self._may_be_overwritten or not record.is_covered_by(self.record):
            await self._commit(record)

    async def confirm(self, record: DutyRecord) -> None:
        """Write the record even if unchanged, so that the store confirms the duty.

        :raises CeleryfoldError: if the store did not confirm it.
        """
        await self._commit(record)

    async def _commit(self, record: DutyRecord) -> None:
        expected = [self._duty.expect(), Expectation(self._key, self._revision)]
        write = ItemWrite(self._key, msgspec.json.encode(record))
        try:
            self._revision = await self._store.commit(expected, [write])
        except CeleryfoldError as error:
            is_refused = isinstance(error, StoreRefused)
            if isinstance(error, StoreUnavailable) and not is_refused:
                self._may_be_overwritten = True
            await self.read()
            await self._duty.verify()
            raise
        self.record = record
        self._may_be_overwritten = False
