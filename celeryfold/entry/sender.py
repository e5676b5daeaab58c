"""Sends requests to home and holding instances, with retries if safe and in budget."""

from __future__ import annotations

__all__ = ["EntryPorts", "Sender", "join_transaction", "split_transaction"]

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from ..config.objects import Catalog
from ..exceptions import RequestFailure
from ..fleet.members import Member
from ..groups.record_cache import RecordCache
from ..home.messages import Begin
from ..home.transactions import find_holder
from ..kernel.errors import ERROR_RESPONSES, ErrorKind, Ran
from ..kernel.ids import GroupId, InstanceId, ServiceId, SlotId, TransactionId
from ..kernel.metrics import Metrics
from ..links.link import MessageNotSent, PeerUnreachable
from .retries import RetryBudget
from .router import Router

RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.4
# An attempt that may be repeated gets half of the remaining time, but at least this.
MIN_KEYED_ATTEMPT_S = 1.0

_RETRYABLE_WRITE_FAILURES = {
    ErrorKind.NO_PRIMARY,
    ErrorKind.NOT_RUN,
    ErrorKind.SHUTTING_DOWN,
}
_DEFINITE_FAILURES = {ErrorKind.KEY_CANCELLED, ErrorKind.KEY_REUSED}


class EntryPorts(ABC):
    """Interface of the entry to the instance that it runs in."""

    @abstractmethod
    def find_catalog(self) -> Catalog:
        """Return the current configuration."""

    @abstractmethod
    def find_member(self, instance: InstanceId) -> Member | None:
        """Return a member of the fleet, or None if it is unknown."""

    @abstractmethod
    async def send(
        self, home: Member, message: msgspec.Struct, timeout_s: float
    ) -> Any:
        """Send a request to an instance, or handle it locally if it is this one.

        :param timeout_s: seconds to wait for the reply.
        :raises PeerUnreachable: if no reply arrives in time.
        """


class Sender:
    """Sends requests of one entry to home instances.

    :param budget: retry budget shared by all requests of the entry.
    """

    def __init__(
        self,
        ports: EntryPorts,
        router: Router,
        record_cache: RecordCache,
        metrics: Metrics,
        budget: RetryBudget,
    ) -> None:
        self._ports = ports
        self._router = router
        self._record_cache = record_cache
        self._metrics = metrics
        self._retry_budget = budget

    async def send_to_home(
        self, slot: SlotId, message: msgspec.Struct, timeout_s: float
    ) -> Any:
        """Send a request to the home of a slot.

        :raises RequestFailure: if no instance can serve the slot.
        :raises PeerUnreachable: if the home does not reply; it is then avoided for a
            while.
        """
        home = self._router.find_home(slot)
        if home is None:
            raise RequestFailure(ErrorKind.NOT_RUN, "no instance can serve this slot")
        try:
            return await self._ports.send(home, message, timeout_s)
        except MessageNotSent as error:
            raise RequestFailure(ErrorKind.BODY_TOO_LARGE, str(error)) from error
        except PeerUnreachable:
            self._metrics.count("entry.home_unreachable")
            self._router.avoid_instance(home.instance_id)
            raise

    async def send_with_retries(
        self,
        group: GroupId,
        make_message: Callable[[float], Any],
        deadline: float,
        is_idempotent: bool,
    ) -> Any:
        """Send to the primary's home, with retries while they are safe and useful.

        If an earlier attempt may have run, a later refusal does not settle the outcome
        of that attempt, so the outcome is reported as unknown.

        :param make_message: creates the message of an attempt from its seconds left.
        :param deadline: time on trio's clock at which retries stop.
        :param is_idempotent: whether an attempt that may have run can be repeated.
        :raises RequestFailure: if no attempt succeeded.
        """
        delay_s = RETRY_DELAY_S
        may_have_run = False
        while True:
            budget_s = deadline - trio.current_time()
            if is_idempotent:
                budget_s = min(budget_s, max(MIN_KEYED_ATTEMPT_S, budget_s / 2))
            try:
                return await self._send_to_primary(group, make_message(budget_s))
            except RequestFailure as failure:
                is_unknown = ERROR_RESPONSES[failure.kind].ran is Ran.UNKNOWN
                may_have_run = may_have_run or is_unknown
                can_retry = failure.kind in _RETRYABLE_WRITE_FAILURES or (
                    is_idempotent and is_unknown
                )
                is_time_left = trio.current_time() + delay_s < deadline
                if not can_retry or not is_time_left or not self._retry_budget.spend():
                    if may_have_run and failure.kind not in _DEFINITE_FAILURES:
                        raise _make_outcome_unknown(failure) from failure
                    raise
                self._metrics.count(f"entry.write_again.{failure.kind.value}")
            with trio.move_on_after(delay_s):
                await self._record_cache.wait_change(group)
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)

    async def _send_to_primary(self, group: GroupId, message: Any) -> Any:
        known = self._record_cache.find(group)
        if known is None or not known.record.started:
            raise RequestFailure(ErrorKind.NO_PRIMARY, f"{group} has no known primary")
        try:
            return await self.send_to_home(
                known.record.primary, message, message.budget_s
            )
        except PeerUnreachable as error:
            kind = ErrorKind.OUTCOME_UNKNOWN
            if isinstance(message, Begin):
                kind = ErrorKind.NOT_RUN
            raise RequestFailure(kind, str(error)) from error

    async def send_to_holder(
        self,
        transaction: TransactionId,
        message: msgspec.Struct,
        budget_s: float,
        is_commit: bool,
    ) -> Any:
        """Send a request to the instance that holds a transaction.

        :param is_commit: whether a missing reply leaves the outcome unknown, rather
            than the transaction lost.
        :raises RequestFailure: if the holder is unknown or does not reply.
        """
        holder = self._ports.find_member(find_holder(transaction))
        kind = ErrorKind.OUTCOME_UNKNOWN if is_commit else ErrorKind.TRANSACTION_LOST
        if holder is None:
            text = "the instance that holds the transaction is not known here"
            not_found_kind = (
                ErrorKind.OUTCOME_UNKNOWN if is_commit else ErrorKind.NOT_RUN
            )
            raise RequestFailure(not_found_kind, text)
        try:
            return await self._ports.send(holder, message, budget_s)
        except MessageNotSent as error:
            raise RequestFailure(ErrorKind.BODY_TOO_LARGE, str(error)) from error
        except PeerUnreachable as error:
            raise RequestFailure(kind, str(error)) from error


def _make_outcome_unknown(failure: RequestFailure) -> RequestFailure:
    if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
        return failure
    text = f"an earlier attempt may have run; last failure: {failure.message}"
    return RequestFailure(ErrorKind.OUTCOME_UNKNOWN, text, failure.retry_after_s)


def join_transaction(
    service: ServiceId, group: GroupId, transaction: TransactionId
) -> str:
    """Return the transaction name that callers use."""
    return f"{service}~{group}~{transaction}"


def split_transaction(name: str) -> tuple[ServiceId, GroupId, TransactionId]:
    """Return the service, group and transaction of a transaction name.

    :raises RequestFailure: if the name is malformed.
    """
    parts = name.split("~", 2)
    if len(parts) != 3 or "~" not in parts[2]:
        text = "invalid transaction name; use the one returned on begin"
        raise RequestFailure(ErrorKind.UNKNOWN_TRANSACTION, text)
    return ServiceId(parts[0]), GroupId(parts[1]), TransactionId(parts[2])
