"""Suspension of writes at all instances while a promotion may take effect."""

from __future__ import annotations

__all__ = [
    "RECORD_FOLDER",
    "SUSPENSION_CODEC_TYPES",
    "SuspendWrites",
    "SuspensionReader",
    "WriteSuspender",
]

import logging
from collections.abc import Collection

import msgspec
import trio

from ..exceptions import CeleryfoldError, Unreadable
from ..kernel.decoding import decode_json
from ..kernel.ids import ServiceId, UpstreamId
from ..kernel.metrics import Metrics
from ..links import PeerLink
from .duty_record import DutyRecord
from .messages import Duration
from .open_statements import LATE_STATEMENT_S
from .peers import PeerTable
from .samples import SampleHistory, WriteSuspension
from .store import Item

log = logging.getLogger(__name__)

# A round trip between regions takes 60 ms.
ANNOUNCEMENT_TIMEOUT_S = 0.25
# The records of the duties lie in this folder, each under the name of its service.
RECORD_FOLDER = "members/"


class SuspendWrites(msgspec.Struct, frozen=True, array_like=True, tag="suspend"):
    """Request to write to no primary of a service but one.

    :param successor: the upstream that may be written to once it leads, or None.
    :param for_s: seconds until writes go on without a further request; 0 to end the
        suspension.
    :param token: the fencing token of the holder. Requests with older ones than an
        instance has seen change nothing.
    """

    service: ServiceId
    successor: UpstreamId | None
    for_s: Duration
    token: int


class WritesSuspended(msgspec.Struct, frozen=True, array_like=True, tag="suspended"):
    """Reply of an instance that passes on no success of a write to another upstream."""


SUSPENSION_CODEC_TYPES = SuspendWrites | WritesSuspended


class SuspensionReader:
    """Suspends writes at an instance that starts while a promotion may take effect.

    Other instances may not know it yet, so that it hears of no suspension. The record
    of the duty tells of promotion calls that may be open.

    :param prefix: the prefix of the keys of the records in the store.
    """

    def __init__(self, prefix: str, samples: SampleHistory) -> None:
        self._prefix = f"{prefix}{RECORD_FOLDER}"
        self._samples = samples

    def read(self, items: Collection[Item]) -> None:
        """Suspend the writes to the services whose records tell of open calls.

        The holder of the duty ends this; without a holder it lasts until no call can
        be carried out any more, or until the one upstream leads that they may name.
        """
        for item in items:
            if not item.key.startswith(self._prefix):
                continue
            service = ServiceId(item.key.removeprefix(self._prefix))
            try:
                record = decode_json(item.value, DutyRecord)
            except Unreadable:
                # The next holder of the duty logs it.
                continue
            if not record.is_settled:
                targets = record.targets or ()
                successor = targets[0] if len(targets) == 1 else None
                suspension = WriteSuspension(successor, LATE_STATEMENT_S, 0)
                self._samples.suspend(service, suspension)


class WriteSuspender:
    """Suspends the writes to a service at this instance and at all its peers.

    What an instance acknowledged before its reply was received by a replica before it,
    too, so a choice that is made after all replies covers it. Instances that do not
    reply are not waited for.
    """

    def __init__(
        self,
        link: PeerLink,
        peers: PeerTable,
        samples: SampleHistory,
        metrics: Metrics,
    ) -> None:
        self._link = link
        self._peers = peers
        self._samples = samples
        self._metrics = metrics
        link.register_handler(SuspendWrites, self._apply)

    async def announce(
        self,
        service: ServiceId,
        successor: UpstreamId | None,
        for_s: float,
        token: int,
    ) -> bool:
        """Suspend the writes to a service, or end that, wherever instances reply.

        :param successor: the upstream that may be written to once it leads, or None.
        :param for_s: how long, in seconds; 0 to end the suspension.
        :param token: the fencing token of the duty of the service.
        :returns: whether all instances that are known have replied.
        """
        message = SuspendWrites(service, successor, for_s, token)
        await self._apply(message)
        silent: list[str] = []
        async with trio.open_nursery() as nursery:
            for peer in self._peers.list_present():
                nursery.start_soon(self._send, peer.address, message, silent)
        if silent:
            self._metrics.count("failover.suspension_unconfirmed", len(silent))
            extra = {"service": service, "for_s": for_s, "peers": sorted(silent)}
            log.warning("suspension of writes not confirmed", extra=extra)
        return not silent

    async def _send(
        self, address: str, message: SuspendWrites, silent: list[str]
    ) -> None:
        try:
            await self._link.request(address, message, ANNOUNCEMENT_TIMEOUT_S)
        except CeleryfoldError:
            silent.append(address)

    async def _apply(self, message: SuspendWrites) -> WritesSuspended:
        suspension = WriteSuspension(message.successor, message.for_s, message.token)
        self._samples.suspend(message.service, suspension)
        return WritesSuspended()
