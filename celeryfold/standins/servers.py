"""HTTP servers for the stand-ins, which run them as separate processes."""

from __future__ import annotations

__all__ = ["HttpLogSource", "serve_list", "serve_slot", "serve_store"]

from abc import abstractmethod
from urllib.parse import parse_qs

import msgspec
import trio

from ..drivers.listing import Listing
from ..drivers.requests import (
    ExecuteBody,
    FollowBody,
    PromoteBody,
    Refusal,
    RefusalKind,
    SwapBody,
    SwapResult,
    WatchResult,
)
from ..drivers.slot import (
    BatchResultLost,
    ConnectionRefused,
    NotPrimary,
    OrderRefused,
    SlotUnreachable,
    StatementRejected,
)
from ..drivers.store import HistoryLost, StoreConflict
from ..exceptions import CeleryfoldError, RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import Position, SlotId, Term
from ..wire.client import HttpClient, ResponseLost, Unreachable
from ..wire.messages import HttpRequest, HttpResponse
from ..wire.server import ConnectionHandler, HttpServer
from .faults import Faults, FaultsBody
from .listing import ListEngine
from .log import LogBatch
from .session import SlotSession
from .slot import SlotEngine
from .store import StoreEngine

HTTP_CONFLICT = 409
LOG_TIMEOUT_S = 3.0


class StandinHandler(ConnectionHandler):
    """Handler of one connection to a stand-in that applies the active faults."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._n_silences = faults.n_silences

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request unless a fault suppresses the response."""
        if request.path == "/faults":
            self.set_faults(msgspec.json.decode(request.body, type=FaultsBody))
            return HttpResponse(200)
        await self._apply_faults()
        response = await self.answer(request)
        await self._apply_faults()
        if self._faults.consume_dropped_answer():
            raise trio.BrokenResourceError("response dropped by a fault")
        return response

    async def _apply_faults(self) -> None:
        if self._n_silences != self._faults.n_silences:
            await trio.sleep_forever()
        await self._faults.delay_answer()
        if self._faults.cut:
            raise trio.BrokenResourceError("connection cut by a fault")

    def set_faults(self, body: FaultsBody) -> None:
        """Update the active faults."""
        self._faults.apply(body)

    @abstractmethod
    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""


_REFUSALS: list[tuple[type[CeleryfoldError], RefusalKind]] = [
    (ConnectionRefused, RefusalKind.LIMIT),
    (NotPrimary, RefusalKind.NOT_PRIMARY),
    (StatementRejected, RefusalKind.STATEMENT),
    (OrderRefused, RefusalKind.ORDER),
]


class SlotHandler(StandinHandler):
    """Handler of one connection to a slot."""

    def __init__(self, engine: SlotEngine) -> None:
        super().__init__(engine.faults)
        self._engine = engine
        self._session: SlotSession | None = None

    def set_faults(self, body: FaultsBody) -> None:
        """Update the active faults, the replication lag and the leaving state."""
        super().set_faults(body)
        if body.lag_ms is not None:
            self._engine.lag_s = body.lag_ms / 1000.0
        if body.leaving is not None:
            self._engine.leaving = body.leaving

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request to the slot."""
        try:
            return await self._answer(request)
        except (BatchResultLost, SlotUnreachable) as error:
            raise trio.BrokenResourceError(str(error)) from error
        except CeleryfoldError as error:
            for refused, kind in _REFUSALS:
                if isinstance(error, refused):
                    refusal = Refusal(kind, str(error))
                    return HttpResponse.from_object(refusal, HTTP_CONFLICT)
            raise

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        engine = self._engine
        if request.path == "/execute":
            return await self._execute(request.body)
        if request.path == "/status":
            query = parse_qs(request.query)
            position = Position(int(query["position"][0]))
            wait_s = int(query["wait_ms"][0]) / 1000.0
            return HttpResponse.from_object(await engine.wait_status(position, wait_s))
        if request.path == "/connect":
            self._session = self._session or await engine.open_session()
            return HttpResponse(200)
        if request.path == "/rollback":
            if self._session is not None:
                self._session.rollback()
            return HttpResponse(200)
        if request.path == "/promote":
            order = msgspec.json.decode(request.body, type=PromoteBody)
            return HttpResponse.from_object(engine.promote(order.term))
        if request.path == "/follow":
            follow = msgspec.json.decode(request.body, type=FollowBody)
            engine.follow(follow.primary, follow.address, follow.term)
            return HttpResponse(200)
        if request.path == "/log":
            query = parse_qs(request.query)
            batch = await engine.fetch_log(
                Position(int(query["after"][0])),
                Term(int(query["term"][0])),
                int(query["wait_ms"][0]) / 1000.0,
            )
            return HttpResponse.from_object(batch)
        raise RequestFailure(ErrorKind.NOT_FOUND, f"no path {request.path}")

    async def _execute(self, body: bytes) -> HttpResponse:
        if self._session is None:
            raise StatementRejected("connect first")
        batch = msgspec.json.decode(body, type=ExecuteBody)
        answer = await self._session.execute(
            batch.statements, batch.begin, batch.commit
        )
        return HttpResponse.from_object(answer)

    async def close(self) -> None:
        """Close the session, which releases its connection."""
        if self._session is not None:
            self._session.close()


class StoreHandler(StandinHandler):
    """Handler of one connection to the store."""

    def __init__(self, engine: StoreEngine) -> None:
        super().__init__(engine.faults)
        self._engine = engine

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one store call."""
        try:
            response = await self._dispatch(request)
        except HistoryLost:
            response = HttpResponse(410)
        response.headers.append(("Store-Era", str(self._engine.era)))
        return response

    async def _dispatch(self, request: HttpRequest) -> HttpResponse:
        query = parse_qs(request.query)
        if request.path == "/entry":
            return HttpResponse.from_object(self._engine.get(query["key"][0]))
        if request.path == "/swap":
            return HttpResponse.from_object(self._swap(request.body))
        if request.path == "/watch":
            entries = await self._engine.watch(
                query["prefix"][0],
                int(query["after"][0]),
                int(query["wait_ms"][0]) / 1000.0,
            )
            return HttpResponse.from_object(WatchResult(entries))
        if request.path == "/calls":
            return HttpResponse.from_object(dict(self._engine.calls))
        raise RequestFailure(ErrorKind.NOT_FOUND, f"no path {request.path}")

    def _swap(self, body: bytes) -> SwapResult:
        swap = msgspec.json.decode(body, type=SwapBody)
        try:
            revision = self._engine.compare_and_swap(
                swap.key, swap.expected, swap.value
            )
        except StoreConflict:
            return SwapResult(None)
        return SwapResult(revision)


class ListHandler(StandinHandler):
    """Handler of one connection to the instance list."""

    def __init__(self, engine: ListEngine) -> None:
        super().__init__(engine.faults)
        self._engine = engine

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return the list, or replace the list on a POST request."""
        if request.method == "POST":
            self._engine.set(msgspec.json.decode(request.body, type=Listing))
            return HttpResponse(200)
        return HttpResponse.from_object(self._engine.read())


class HttpLogSource:
    """Source of the log of another slot over HTTP."""

    def __init__(self, slot_id: SlotId, address: str) -> None:
        self._slot_id = slot_id
        self._client = HttpClient(address)

    async def fetch_log(
        self, after: Position, after_term: Term, wait_s: float
    ) -> LogBatch:
        """Return the log entries after a position.

        :raises SlotUnreachable: if no readable response arrives in time.
        """
        path = f"/log?after={after}&term={after_term}&wait_ms={int(wait_s * 1000)}"
        try:
            with trio.fail_after(LOG_TIMEOUT_S):
                response = await self._client.request("GET", path)
            return msgspec.json.decode(response.body, type=LogBatch)
        except (
            ResponseLost,
            Unreachable,
            trio.TooSlowError,
            msgspec.DecodeError,
        ) as error:
            raise SlotUnreachable(f"{self._slot_id} did not return its log") from error


async def serve_slot(
    engine: SlotEngine, host: str, port: int, nursery: trio.Nursery
) -> HttpServer:
    """Serve a slot until the nursery is cancelled."""
    nursery.start_soon(engine.run)
    return await _serve(HttpServer(host, port, lambda: SlotHandler(engine)), nursery)


async def serve_store(
    engine: StoreEngine, host: str, port: int, nursery: trio.Nursery
) -> HttpServer:
    """Serve the store until the nursery is cancelled."""
    return await _serve(HttpServer(host, port, lambda: StoreHandler(engine)), nursery)


async def serve_list(
    engine: ListEngine, host: str, port: int, nursery: trio.Nursery
) -> HttpServer:
    """Serve the instance list until the nursery is cancelled."""
    return await _serve(HttpServer(host, port, lambda: ListHandler(engine)), nursery)


async def _serve(server: HttpServer, nursery: trio.Nursery) -> HttpServer:
    await server.start(nursery)
    return server
