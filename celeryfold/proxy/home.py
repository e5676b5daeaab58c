"""Homes: instances that pool the connections to an upstream for other instances."""

from __future__ import annotations

__all__ = ["HOME_CODEC_TYPES", "HomeServer", "RemoteExecutor"]

import random
import secrets
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from ..balancing.home_choice import ChoiceKind, choose_home
from ..balancing.home_health import HomeHealth
from ..balancing.load_reports import HomeLoad, LoadReports, SentStatement
from ..exceptions import CeleryfoldError, RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import AccountId, InstanceId, PlaceId, TransactionId, UpstreamId
from ..kernel.metrics import Metrics
from ..links import MessageNotSent, PeerLink
from .answers import FailureCause
from .clock import Clock
from .exchanges import ExchangeFailed
from .executors import Executor, PinnedConnection, RetryableFailure, Work, WorkResult
from .messages import Peer
from .upstream import Reply, Upstream

# Round trip between regions, plus processing time at both instances.
ROUND_TRIP_MARGIN_S = 0.15
# A home that does not reach the upstream is avoided for this long if there are others.
HOME_AVOIDANCE_S = 1.5
# Instances receive membership changes at different times and so disagree on homes for a
# while.
N_HOMES_TRIED = 3
# A home rolls back the transactions of lost instances after this time. An instance that
# is alive rolls back its idle transactions sooner.
ABANDONED_TRANSACTION_TIMEOUT_S = 6.0


class RunAtHome(msgspec.Struct, frozen=True, array_like=True, tag="run_at_home"):
    """Asks a home to run work on one of its connections."""

    upstream: UpstreamId
    work: Work


class RunHeld(msgspec.Struct, frozen=True, array_like=True, tag="run_held"):
    """Asks a home to run work in an open transaction."""

    transaction: TransactionId
    work: Work


class AbandonHeld(msgspec.Struct, frozen=True, array_like=True, tag="abandon_held"):
    """Asks a home to roll back a transaction."""

    transaction: TransactionId


class HomeReply(msgspec.Struct, frozen=True, array_like=True, tag="home_reply"):
    """The reply of a home to any of its messages.

    :param transaction: id of the transaction that is open, empty if there is none.
    :param not_run: why nothing ran, or None.
    :param cause: why replies are missing, or None.
    :param is_not_home: whether nothing ran because the instance has no connections to
        the upstream.
    :param retry_after_s: seconds until a retry makes sense, if nothing ran and the time
        is known.
    :param load: the load of the home for the upstream, as the reply leaves it.
    """

    replies: tuple[Reply, ...] = ()
    transaction: TransactionId = TransactionId("")
    not_run: ErrorKind | None = None
    cause: FailureCause | None = None
    text: str = ""
    is_not_home: bool = False
    retry_after_s: float | None = None
    load: HomeLoad | None = None


class _NotHome(CeleryfoldError):
    """The instance is not a home of the upstream, by its own list of members."""


HOME_CODEC_TYPES = RunAtHome | RunHeld | AbandonHeld | HomeReply


@dataclass
class _HostedTransaction:
    executor: Executor
    pinned: PinnedConnection
    last_used_at: float


class HomeServer:
    """Runs the work of other instances on connections of this instance.

    :param find_executor: returns the local executor of an upstream, if there is one.
    """

    def __init__(
        self,
        link: PeerLink,
        find_executor: Callable[[UpstreamId], Executor | None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._find_executor = find_executor
        self._clock = clock
        self._metrics = metrics
        self._transactions: dict[TransactionId, _HostedTransaction] = {}
        self._n_running = 0
        link.register_handler(RunAtHome, self._run)
        link.register_handler(RunHeld, self._run_pinned)
        link.register_handler(AbandonHeld, self._abandon)

    @property
    def n_busy(self) -> int:
        """Number of running statements and open transactions of other instances."""
        return self._n_running + len(self._transactions)

    async def _run(self, message: RunAtHome) -> HomeReply:
        executor = self._find_executor(message.upstream)
        if executor is None:
            text = f"this instance is not a home of {message.upstream}"
            return HomeReply(is_not_home=True, text=text)
        self._metrics.count("home.served")

        async def run() -> HomeReply:
            result = await executor.run(message.work)
            transaction = self._register(executor, result.pinned)
            return HomeReply(tuple(result.replies), transaction)

        reply = await self._make_reply(run)
        return msgspec.structs.replace(reply, load=executor.load)

    async def _make_reply(self, run: Callable[[], Awaitable[HomeReply]]) -> HomeReply:
        """Run work and return its reply, or a reply that describes its failure."""
        self._n_running += 1
        try:
            return await run()
        except RetryableFailure as failure:
            return HomeReply(
                not_run=failure.kind,
                text=failure.text,
                retry_after_s=failure.retry_after_s,
            )
        except ExchangeFailed as failure:
            replies = tuple(failure.replies)
            return HomeReply(replies, cause=failure.cause, text=str(failure))
        finally:
            self._n_running -= 1

    def _register(
        self, executor: Executor, pinned: PinnedConnection | None
    ) -> TransactionId:
        if pinned is None:
            return TransactionId("")
        transaction = TransactionId(secrets.token_hex(8))
        hosted = _HostedTransaction(executor, pinned, self._clock())
        self._transactions[transaction] = hosted
        return transaction

    async def _run_pinned(self, message: RunHeld) -> HomeReply:
        found = self._transactions.pop(message.transaction, None)
        if found is None:
            text = "the transaction is not open at its home"
            return HomeReply(cause=FailureCause.LOST, text=text)

        async def run() -> HomeReply:
            replies = tuple(await found.pinned.run(message.work))
            if found.pinned.has_ended:
                return HomeReply(replies)
            found.last_used_at = self._clock()
            self._transactions[message.transaction] = found
            return HomeReply(replies, message.transaction)

        reply = await self._make_reply(run)
        return msgspec.structs.replace(reply, load=found.executor.load)

    async def _abandon(self, message: AbandonHeld) -> HomeReply:
        found = self._transactions.pop(message.transaction, None)
        if found is not None:
            found.pinned.abandon()
        return HomeReply()

    def expire(self) -> None:
        """Roll back transactions in which no statement has run for too long."""
        oldest = self._clock() - ABANDONED_TRANSACTION_TIMEOUT_S
        for transaction, found in list(self._transactions.items()):
            if found.last_used_at < oldest:
                del self._transactions[transaction]
                found.pinned.abandon()
                self._metrics.count("home.abandoned")


class RemoteExecutor(Executor):
    """Runs work at an upstream through its homes.

    :param list_homes: returns the live homes of the upstream.
    :param estimate_distance_s: returns the round-trip time to a data centre, in
        seconds.
    :param spawn: starts a background task.
    :param health: which homes do not reply.
    """

    def __init__(
        self,
        upstream: Upstream,
        link: PeerLink,
        list_homes: Callable[[], Sequence[Peer]],
        estimate_distance_s: Callable[[PlaceId], float],
        spawn: Callable[..., object],
        health: HomeHealth,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__(upstream, clock)
        self._health = health
        self._link = link
        self._list_homes = list_homes
        self._estimate_distance_s = estimate_distance_s
        self._spawn = spawn
        self._metrics = metrics
        self._avoided: dict[InstanceId, float] = {}
        self._reports = LoadReports()
        self._rng = random.Random()
        self._n_in_use = 0

    @property
    def n_in_use(self) -> int:
        """Number of statements of this instance that run or wait at homes."""
        return self._n_in_use

    @property
    def reported_time_s(self) -> float | None:
        """Recent mean time of a statement by reports of homes, None without any."""
        return self._reports.find_mean_s(self._clock())

    def is_available(self) -> bool:
        """Return whether any home is known that replies."""
        return any(not self._is_suspected(home) for home in self._list_homes())

    def _is_suspected(self, home: Peer) -> bool:
        return self._health.is_suspected(home.instance_id)

    async def run(self, work: Work) -> WorkResult:
        """Run requests at a home; try another if that instance is not a home."""
        message = RunAtHome(self.upstream.upstream_id, work)
        self._n_in_use += 1
        try:
            for _ in range(N_HOMES_TRIED):
                home = self._choose_home(work.account)
                try:
                    return await self._run_at(home, message)
                except _NotHome:
                    self._avoid(home)
        finally:
            self._n_in_use -= 1
        text = f"none of the tried instances is a home of {self.upstream.upstream_id}"
        raise RetryableFailure(ErrorKind.NOT_RUN, text)

    async def _run_at(self, home: Peer, message: RunAtHome) -> WorkResult:
        work = message.work
        reply = await self.send(home, message, work.timeout_s)
        pinned = None
        if reply.transaction:
            pinned = _RemotePinnedConnection(self, home, reply.transaction)
        return WorkResult(list(reply.replies), pinned)

    def _avoid(self, home: Peer) -> None:
        self._avoided[home.instance_id] = self._clock() + HOME_AVOIDANCE_S

    def _choose_home(self, account: AccountId) -> Peer:
        """Return the home for a statement, preferably one that is not avoided.

        :raises RetryableFailure: no home replies; a statement sent all the same would
            use up its time, and another instance may reach a home.
        """
        now = self._clock()
        homes = [h for h in self._list_homes() if not self._is_suspected(h)]
        preferred = [h for h in homes if self._avoided.get(h.instance_id, 0.0) < now]
        if not homes:
            text = f"no home of {self.upstream.upstream_id} is known to reply"
            raise RetryableFailure(ErrorKind.NOT_RUN, text)
        usable = {home.instance_id: home for home in preferred or homes}
        if len(usable) == 1:
            return next(iter(usable.values()))
        distances_s = {
            name: self._estimate_distance_s(home.place) for name, home in usable.items()
        }
        chosen = choose_home(
            self.upstream.upstream_id,
            list(usable),
            account,
            self._reports.estimate(distances_s, now),
            self._rng,
        )
        if chosen.kind is not ChoiceKind.FIRST:
            self._metrics.count(f"home.{chosen.kind.value}_choice")
        return usable[chosen.home]

    async def send(self, home: Peer, message: Any, timeout_s: float) -> HomeReply:
        """Send a message to a home and return its reply, complete with all replies.

        :param timeout_s: how long the home may take, in seconds.
        :raises RequestFailure: the message is too large; none of the requests ran.
        :raises RetryableFailure: none of the requests ran.
        :raises ExchangeFailed: replies are missing.
        """
        sent_at = self._clock()
        sent = self._reports.record_sent(home.instance_id, sent_at)
        try:
            reply = await self._link.request(
                home.address, message, timeout_s + ROUND_TRIP_MARGIN_S
            )
        except RequestFailure as failure:
            raise ExchangeFailed(FailureCause.LOST, [], failure.message) from failure
        except MessageNotSent as error:
            # The message itself is the cause, so no other home is asked.
            text = f"the statement was not run: {error}"
            raise RequestFailure(ErrorKind.BODY_TOO_LARGE, text) from error
        except CeleryfoldError as error:
            self._health.record_silence(home.instance_id, home.address)
            self._metrics.count("home.unanswered")
            text = f"home {home.instance_id} did not reply"
            raise ExchangeFailed(FailureCause.TIMED_OUT, [], text) from error
        finally:
            self._reports.record_end(sent)
        assert isinstance(reply, HomeReply)
        self._health.record_reply(home.instance_id)
        self._record_load(home, message, sent, reply)
        if reply.is_not_home:
            self._metrics.count("home.not_home")
            raise _NotHome(reply.text)
        if reply.not_run is ErrorKind.NOT_RUN:
            self._avoid(home)
        if reply.not_run is not None:
            raise RetryableFailure(reply.not_run, reply.text, reply.retry_after_s)
        if reply.cause is not None:
            raise ExchangeFailed(reply.cause, list(reply.replies), reply.text)
        self.record_duration(self._clock() - sent_at)
        for answer in reply.replies:
            self.record_reply(answer)
        return reply

    def _record_load(
        self, home: Peer, message: Any, sent: SentStatement, reply: HomeReply
    ) -> None:
        """Record the load in a reply, and how long the home took if it ran the work.

        Statements of open transactions do not wait at homes, so their duration is not
        compared with the wait of others.
        """
        if reply.load is None:
            return
        now = self._clock()
        distance_s = self._estimate_distance_s(home.place)
        has_run = reply.not_run is None and reply.cause is None
        if has_run and isinstance(message, RunAtHome):
            self._reports.record_reply(sent, reply.load, now, distance_s)
        self._reports.record_report(home.instance_id, reply.load, now, distance_s)

    def abandon(self, home: Peer, transaction: TransactionId) -> None:
        """Ask a home to roll back a transaction, without waiting for the reply."""
        self._spawn(self._abandon, home, transaction)

    async def _abandon(self, home: Peer, transaction: TransactionId) -> None:
        try:
            await self._link.request(
                home.address, AbandonHeld(transaction), ROUND_TRIP_MARGIN_S
            )
        except CeleryfoldError:
            # The home rolls the transaction back when its time-out expires.
            self._metrics.count("home.abandon_unanswered")


class _RemotePinnedConnection(PinnedConnection):
    def __init__(
        self, executor: RemoteExecutor, home: Peer, transaction: TransactionId
    ) -> None:
        self._executor = executor
        self._home = home
        self._transaction = transaction
        self._has_ended = False

    @property
    def has_ended(self) -> bool:
        return self._has_ended

    async def run(self, work: Work) -> list[Reply]:
        self._has_ended = True
        message = RunHeld(self._transaction, work)
        try:
            reply = await self._executor.send(self._home, message, work.timeout_s)
        except RequestFailure:
            self._executor.abandon(self._home, self._transaction)
            raise
        except ExchangeFailed as failure:
            if failure.cause is FailureCause.LOST:
                # The home may hold the transaction: only its reply may be lost.
                self._executor.abandon(self._home, self._transaction)
            raise
        self._has_ended = not reply.transaction
        return list(reply.replies)

    def abandon(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._executor.abandon(self._home, self._transaction)
