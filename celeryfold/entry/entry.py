"""Serves caller requests: selects the upstream group, routes and retries."""

from __future__ import annotations

__all__ = ["Entry"]

import hashlib
from collections.abc import Awaitable, Callable, Coroutine
from functools import wraps
from typing import Any, Concatenate, ParamSpec, TypeVar

import msgspec
import trio

from ..config.objects import Service, UpstreamGroup
from ..drivers.slot import Statement
from ..exceptions import RequestFailure
from ..groups.record_cache import RecordCache
from ..home.messages import (
    Begin,
    CancelKey,
    Finish,
    RunInTransaction,
    RunRead,
    RunWrite,
    StatementAnswer,
)
from ..kernel.errors import ErrorKind
from ..kernel.events import EventKind, Timeline
from ..kernel.ids import (
    GroupId,
    Position,
    RequestId,
    ServiceId,
    SlotId,
    Term,
    make_request_id,
)
from ..kernel.metrics import Metrics
from ..links.link import PeerUnreachable
from .requests import (
    MAX_KEY_LENGTH,
    BeginRequest,
    BeginResponse,
    CancelRequest,
    FinishRequest,
    Mode,
    StatementRequest,
    StatementResponse,
)
from .retries import RetryBudget
from .router import Router
from .sender import EntryPorts, Sender, join_transaction, split_transaction
from .sessions import SessionPositions, SessionTokens

P = ParamSpec("P")
T = TypeVar("T")

# A read that can still go to another slot gets half of the remaining time, but at
# least this.
MIN_ATTEMPT_S = 0.3
MAX_DEADLINE_MS = 600_000

_RETRYABLE_READ_FAILURES = {
    ErrorKind.TOO_STALE,
    ErrorKind.NOT_CAUGHT_UP,
    ErrorKind.OVERLOADED,
    ErrorKind.NOT_RUN,
    ErrorKind.SHUTTING_DOWN,
    ErrorKind.INTERNAL,
}


def _count_in_progress(
    handler: Callable[Concatenate[Entry, P], Awaitable[T]],
) -> Callable[Concatenate[Entry, P], Coroutine[Any, Any, T]]:
    """Count a request as in progress from its arrival to its response."""

    @wraps(handler)
    async def count_and_call(entry: Entry, *args: P.args, **kwargs: P.kwargs) -> T:
        entry.n_in_progress += 1
        try:
            return await handler(entry, *args, **kwargs)
        finally:
            entry.n_in_progress -= 1

    return count_and_call


class Entry:
    """Serves the requests of callers at this instance.

    :param ports: interface to the instance.
    :param record_cache: records of the upstream groups, which name their primaries.
    :param tokens: signs and verifies session tokens.
    """

    def __init__(
        self,
        ports: EntryPorts,
        router: Router,
        record_cache: RecordCache,
        tokens: SessionTokens,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self._ports = ports
        self._router = router
        self._session_tokens = tokens
        self._timeline = timeline
        self._metrics = metrics
        self.n_in_progress = 0
        self._retry_budget = RetryBudget()
        self._sender = Sender(ports, router, record_cache, metrics, self._retry_budget)

    @_count_in_progress
    async def run_statement(
        self, service_name: ServiceId, request: StatementRequest
    ) -> StatementResponse:
        """Run one statement outside a transaction.

        :raises RequestFailure: if the statement was refused or its outcome is unknown.
        """
        began = trio.current_time()
        request_id = make_request_id()
        service = self._find_service(service_name)
        group = self._ports.find_catalog().find_group(service, request.key)
        positions = self._session_tokens.read(request.session)
        deadline = began + _find_budget_s(service, request.deadline_ms)
        self._retry_budget.record_request()
        self._metrics.count(f"entry.{request.mode.value}")
        try:
            if request.mode is Mode.READ:
                answer = await self._read(
                    service, group, request, positions, deadline, request_id
                )
            else:
                answer = await self._write(
                    service, group, request, deadline, request_id
                )
                self._timeline.add(
                    EventKind.WRITE_ACKNOWLEDGED, group.name, "", request_id
                )
                positions = self._session_tokens.add(
                    positions, group.name, answer.term, answer.position
                )
        except RequestFailure as failure:
            self._record_failure(failure, group.name, request_id)
            raise
        finally:
            self._metrics.time("entry.request", trio.current_time() - began)
        return self._make_response(answer, positions)

    def _make_response(
        self, answer: StatementAnswer, positions: SessionPositions
    ) -> StatementResponse:
        return StatementResponse(
            answer.request_id,
            answer.result.columns,
            answer.result.rows,
            answer.result.n_changed,
            self._session_tokens.write(positions),
            answer.slot,
            answer.replayed,
        )

    def _record_failure(
        self, failure: RequestFailure, group: GroupId, request_id: RequestId
    ) -> None:
        failure.request_id = request_id
        self._metrics.count(f"entry.failed.{failure.kind.value}")
        kind = EventKind.REQUEST_REFUSED
        if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
            kind = EventKind.OUTCOME_UNKNOWN
        detail = f"{failure.kind.value}: {failure.message}"
        self._timeline.add(kind, group, detail, request_id)

    def _find_service(self, name: ServiceId) -> Service:
        catalog = self._ports.find_catalog()
        if not catalog.services:
            text = "this instance knows no services; use another instance"
            raise RequestFailure(ErrorKind.NOT_RUN, text)
        service = catalog.services.get(name)
        if service is None:
            text = f"service '{name}' is not defined"
            raise RequestFailure(ErrorKind.UNKNOWN_SERVICE, text)
        return service

    async def _read(
        self,
        service: Service,
        group: UpstreamGroup,
        request: StatementRequest,
        positions: SessionPositions,
        deadline: float,
        request_id: RequestId,
    ) -> StatementAnswer:
        rule = self._ports.find_catalog().read_rules[service.read_rule]
        accepted_ms = request.accepted_age_ms
        if accepted_ms is None:
            accepted_ms = rule.accepted_age_ms
        term, position = positions.get(group.name, (Term(0), Position(0)))
        failure = RequestFailure(ErrorKind.NOT_RUN, "no slot was available in time")
        accepted_s = accepted_ms / 1000.0
        candidates = self._router.list_slots(group, accepted_s)
        for rank, slot in enumerate(candidates):
            budget_s = deadline - trio.current_time()
            if budget_s <= 0 or (rank and not self._retry_budget.spend()):
                break
            is_last = rank == len(candidates) - 1
            message = RunRead(
                request_id,
                service.name,
                group.name,
                slot,
                Statement(request.statement, request.parameters),
                accepted_s,
                term,
                position,
                0.0 if is_last else rule.local_wait_ms / 1000.0,
                budget_s if is_last else max(MIN_ATTEMPT_S, budget_s / 2),
                service.weight,
            )
            try:
                return await self._send_read(slot, message)
            except RequestFailure as error:
                failure = error
                if error.kind not in _RETRYABLE_READ_FAILURES:
                    raise
                self._metrics.count(f"entry.read_elsewhere.{error.kind.value}")
                self._router.record_failure(slot, error.kind, accepted_s)
        raise failure

    async def _send_read(self, slot: SlotId, message: RunRead) -> StatementAnswer:
        self._router.n_in_progress[slot] += 1
        try:
            return await self._sender.send_to_home(slot, message, message.budget_s)
        except PeerUnreachable as error:
            raise RequestFailure(ErrorKind.NOT_RUN, str(error)) from error
        finally:
            self._router.n_in_progress[slot] -= 1

    async def _write(
        self,
        service: Service,
        group: UpstreamGroup,
        request: StatementRequest,
        deadline: float,
        request_id: RequestId,
    ) -> StatementAnswer:
        _check_key(request.idempotency_key)
        key = request.idempotency_key
        digest = _hash_request(request) if key else ""

        def make_message(budget_s: float) -> RunWrite:
            return RunWrite(
                request_id,
                service.name,
                group.name,
                Statement(request.statement, request.parameters),
                key,
                digest,
                budget_s,
                service.weight,
            )

        return await self._sender.send_with_retries(
            group.name, make_message, deadline, bool(key)
        )

    @_count_in_progress
    async def cancel(
        self, service_name: ServiceId, request: CancelRequest
    ) -> StatementResponse:
        """Return the response recorded for a key, or ensure that the key never runs."""
        service = self._find_service(service_name)
        group = self._ports.find_catalog().find_group(service, request.key)
        positions = self._session_tokens.read(request.session)
        _check_key(request.idempotency_key)
        deadline = trio.current_time() + _find_budget_s(service, request.deadline_ms)

        def make_message(budget_s: float) -> CancelKey:
            return CancelKey(
                make_request_id(),
                service.name,
                group.name,
                request.idempotency_key,
                budget_s,
                service.weight,
            )

        answer = await self._sender.send_with_retries(
            group.name, make_message, deadline, True
        )
        positions = self._session_tokens.add(
            positions, group.name, answer.term, answer.position
        )
        return self._make_response(answer, positions)

    @_count_in_progress
    async def begin(
        self, service_name: ServiceId, request: BeginRequest
    ) -> BeginResponse:
        """Open a transaction; an attempt with an unknown outcome is not repeated."""
        service = self._find_service(service_name)
        group = self._ports.find_catalog().find_group(service, request.key)
        _check_key(request.idempotency_key)
        deadline = trio.current_time() + _find_budget_s(service, request.deadline_ms)

        def make_message(budget_s: float) -> Begin:
            return Begin(
                make_request_id(),
                service.name,
                group.name,
                request.idempotency_key,
                _hash_text("transaction"),
                budget_s,
                service.weight,
            )

        reply = await self._sender.send_with_retries(
            group.name, make_message, deadline, False
        )
        name = join_transaction(service.name, group.name, reply.transaction)
        return BeginResponse(name)

    @_count_in_progress
    async def run_in_transaction(
        self, name: str, request: StatementRequest
    ) -> StatementResponse:
        """Run a statement in an open transaction, at the instance that holds it."""
        service_name, _, transaction = split_transaction(name)
        service = self._find_service(service_name)
        positions = self._session_tokens.read(request.session)
        budget_s = _find_budget_s(service, request.deadline_ms)
        message = RunInTransaction(
            make_request_id(),
            transaction,
            Statement(request.statement, request.parameters),
            budget_s,
        )
        answer = await self._sender.send_to_holder(
            transaction, message, budget_s, False
        )
        return self._make_response(answer, positions)

    @_count_in_progress
    async def finish(
        self, name: str, request: FinishRequest, commit: bool
    ) -> StatementResponse:
        """Commit or roll back a transaction.

        :param name: transaction name returned by :meth:`begin`.
        """
        service_name, group, transaction = split_transaction(name)
        service = self._find_service(service_name)
        positions = self._session_tokens.read(request.session)
        budget_s = _find_budget_s(service, request.deadline_ms)
        message = Finish(make_request_id(), transaction, commit, budget_s)
        answer = await self._sender.send_to_holder(
            transaction, message, budget_s, commit
        )
        if commit:
            positions = self._session_tokens.add(
                positions, group, answer.term, answer.position
            )
        return self._make_response(answer, positions)


def _find_budget_s(service: Service, deadline_ms: int | None) -> float:
    if deadline_ms is None:
        return service.deadline_ms / 1000.0
    if not 1 <= deadline_ms <= MAX_DEADLINE_MS:
        text = f"deadline_ms: give a value from 1 to {MAX_DEADLINE_MS}"
        raise RequestFailure(ErrorKind.BAD_REQUEST, text)
    return deadline_ms / 1000.0


def _check_key(key: str) -> None:
    if len(key) > MAX_KEY_LENGTH:
        text = f"idempotency_key: give at most {MAX_KEY_LENGTH} characters"
        raise RequestFailure(ErrorKind.BAD_REQUEST, text)


def _hash_request(request: StatementRequest) -> str:
    content = (request.statement, request.parameters)
    return _hash_text(msgspec.json.encode(content).decode())


def _hash_text(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:32]
