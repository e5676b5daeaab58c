"""The project's replicated stand-in database with links of different length.

Promotion calls can be left without an answer and carried out later, with the check of
the fencing token at that time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio

from celeryfold.kernel.ids import InstanceId, ServiceId, UpstreamId
from celeryfold.platform import standins
from celeryfold.platform.lines import LineStream
from celeryfold.platform.standins import PlatformStandin
from celeryfold.proxy.promotions import PromotionRefused, PromotionUnanswered
from celeryfold.proxy.upstream import ConnectionLost, UpstreamConnection
from celeryfold.standins.database import Database, Entry
from celeryfold.standins.replicas import ReplicaSet, _count_common_entries


@dataclass(frozen=True)
class Promotion:
    """A promotion that has been completed.

    :param at: when the new primary took the lead.
    :param lost: the commits acknowledged before that its log lacks.
    """

    at: float
    upstream: UpstreamId
    lost: tuple[Entry, ...]


class LinkedReplicas(ReplicaSet):
    """A replica set with a delay for each replica.

    :param record: writes a line to the record of the script.
    """

    def __init__(self, service: ServiceId, record: Callable[[str], None]) -> None:
        super().__init__(service, network_delay_s=0.0005)
        self.record = record
        # One-way delay of the replication to each database, in seconds.
        self.replication_delay_s: dict[UpstreamId, float] = {}
        # Called with each promotion call; a number of seconds leaves the call without
        # an answer and carries it out that much later.
        self.delay_promotion: Callable[[UpstreamId, InstanceId], float | None] = (
            lambda upstream, holder: None
        )
        self.completed: list[Promotion] = []

    async def _ship_log_to(self, leader: Database, replica: Database) -> None:
        """Send the log as it is now; it arrives after the delay of the link."""
        term, sent = leader.term, list(leader.log)
        delay_s = self.replication_delay_s.get(replica.upstream.upstream_id, 0.0)
        await trio.sleep(max(delay_s, self.network_delay_s))
        if replica.is_replication_cut or not replica.is_alive or not leader.is_alive:
            return
        if replica.paused_term is not None or self.find_leader() is not leader:
            return
        if leader.term != term:
            return
        n_common = _count_common_entries(sent, replica.log)
        if n_common == len(sent) and replica.term == term:
            # An answer to a later message has brought these entries already.
            return
        replica.log = sent
        replica.n_applied = min(replica.n_applied, n_common)
        replica.term = term
        self._changed.set()
        self._changed = trio.Event()
        await trio.sleep(replica.lag_s)
        if len(replica.log) >= len(sent) and replica.is_alive:
            replica.n_applied = max(replica.n_applied, len(sent))

    async def promote(
        self, service: ServiceId, upstream: UpstreamId, holder: InstanceId, token: int
    ) -> None:
        """Promote a database, at once or later."""
        delay_s = self.delay_promotion(upstream, holder)
        text = f"promote {upstream} holder={holder} token={token}"
        if delay_s is None:
            await self._promote_now(text, service, upstream, holder, token)
            return
        self.record(f"platform: {text}: no answer, carried out {delay_s:.1f} s later")
        assert self._nursery is not None
        self._nursery.start_soon(
            self._promote_later, text, delay_s, service, upstream, holder, token
        )
        raise PromotionUnanswered("no answer")

    async def _promote_later(self, text: str, delay_s: float, *call: object) -> None:
        await trio.sleep(delay_s)
        try:
            await self._promote_now(f"late {text}", *call)  # type: ignore[arg-type]
        except PromotionRefused:
            # Recorded already; nobody waits for the answer.
            return

    async def _promote_now(
        self,
        text: str,
        service: ServiceId,
        upstream: UpstreamId,
        holder: InstanceId,
        token: int,
    ) -> None:
        try:
            await super().promote(service, upstream, holder, token)
        except PromotionRefused as refusal:
            self.record(f"platform: {text}: 409 ({refusal})")
            raise
        self.record(f"platform: {text}: 200")

    async def _complete_promotion(self, database: Database) -> None:
        await trio.sleep(self.promotion_delay_s)
        if not database.is_alive:
            return
        kept = {entry.position for entry in database.log}
        lost = tuple(e for _, e in self.acknowledged if e.position not in kept)
        delay_s, self.promotion_delay_s = self.promotion_delay_s, 0.0
        try:
            await super()._complete_promotion(database)
        finally:
            self.promotion_delay_s = delay_s
        name = database.upstream.upstream_id
        self.completed.append(Promotion(trio.current_time(), name, lost))
        self.record(
            f"databases: {name} leads term {database.term}, last entry "
            f"{database.received}, acknowledged commits missing: "
            f"{[str(e.position) for e in lost]}"
        )


async def serve_session(connection: UpstreamConnection, lines: LineStream) -> None:
    """Serve one session; text that is no UTF-8 is kept as it is."""
    while True:
        line = await lines.receive()
        if line is None:
            return
        keyword, request_id, text = line.decode("utf-8", "surrogateescape").split(
            " ", 2
        )
        assert keyword == "QUERY"
        try:
            await connection.send([standins._decode_request(request_id, text)])
            with trio.move_on_after(standins.REPLY_TIMEOUT_S) as scope:
                reply = await connection.receive()
        except ConnectionLost:
            return
        if scope.cancelled_caught:
            return
        await lines.send(standins._encode_reply(reply))


standins._serve_session = serve_session


class Platform(PlatformStandin):
    """The platform with :class:`LinkedReplicas` as its service."""

    def __init__(self, service: str, record: Callable[[str], None]) -> None:
        super().__init__(service)
        self.replicas: LinkedReplicas = LinkedReplicas(ServiceId(service), record)
        # Databases that cannot reach the store; everything else reaches them.
        self.cut_from_store: set[UpstreamId] = set()
        self._record = record

    def _write_entry(self, key: str, entry: dict[str, object]) -> None:
        if key.removeprefix("servers/") not in self.cut_from_store:
            super()._write_entry(key, entry)

    async def cut_for(self, upstream_id: UpstreamId, seconds: float) -> None:
        """Cut a database off from the store; its entry expires meanwhile."""
        self.cut_from_store.add(upstream_id)
        self._record(f"databases: {upstream_id} is cut off from the store")
        with trio.move_on_after(seconds):
            await trio.sleep(standins.ENTRY_EXPIRY_S)
            if f"servers/{upstream_id}" in self.store.items:
                self.store.delete(f"servers/{upstream_id}")
                self._record(f"store: the entry of {upstream_id} has expired")
            await trio.sleep_forever()
        self.cut_from_store.discard(upstream_id)
        self._record(f"databases: {upstream_id} reaches the store again")

    async def crash_for(
        self, upstream_id: UpstreamId, seconds: float, is_dark: bool = True
    ) -> None:
        """Crash a database without a word; it comes back with its log."""
        self.replicas.crash(upstream_id, is_silent=is_dark)
        how = "dark" if is_dark else "down"
        self._record(f"databases: {upstream_id} is {how}")
        await trio.sleep(seconds)
        self.replicas.restart(upstream_id)
        role = self.replicas.databases[upstream_id].role.value
        self._record(f"databases: {upstream_id} is back as {role}")

    def end(self, upstream_id: UpstreamId) -> None:
        """End a database for good; its host refuses connections."""
        self.replicas.crash(upstream_id)
        self._record(f"databases: {upstream_id} has ended")
