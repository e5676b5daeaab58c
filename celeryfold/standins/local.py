"""Drivers and peer links that use the simulated network of one process."""

from __future__ import annotations

__all__ = [
    "LocalLink",
    "LocalList",
    "LocalLogSource",
    "LocalSlot",
    "LocalStore",
    "run_in",
]

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeVar

import msgspec
import trio

from ..drivers.listing import InstanceList, Listing, ListUnavailable
from ..drivers.slot import (
    NO_POSITION,
    BatchResult,
    BatchResultLost,
    Connection,
    Slot,
    SlotStatus,
    SlotUnreachable,
    Statement,
)
from ..drivers.store import (
    HistoryLost,
    Store,
    StoreConflict,
    StoreEntry,
    StoreUnavailable,
)
from ..exceptions import CeleryfoldError, RequestFailure
from ..kernel.decoding import DECODE_ERRORS
from ..kernel.errors import ErrorKind
from ..kernel.ids import Position, SlotId, Term
from ..links.codec import encode_message
from ..links.link import MessageNotSent, PeerLink, PeerUnreachable
from ..links.zmq_link import MAX_MESSAGE_BYTES
from .faults import Faults
from .listing import ListEngine
from .log import LogBatch
from .network import LocalNetwork
from .session import SlotSession
from .slot import SlotEngine
from .store import StoreEngine

T = TypeVar("T")

CONTROL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 2.0
LOG_TIMEOUT_S = 3.0
HALF_OPEN_TIMEOUT_S = 4.0
STORE_NAME = "store"
LIST_NAME = "list"


async def _serve_with_faults(faults: Faults, serve: Callable[[], Awaitable[T]]) -> T:
    """Serve a call, or block forever if a fault suppresses the response."""
    await faults.delay_answer()
    if faults.cut:
        await trio.sleep_forever()
    answer = await serve()
    if faults.cut or faults.consume_dropped_answer():
        await trio.sleep_forever()
    return answer


async def run_in(nursery: trio.Nursery | None, serve: Callable[[], Awaitable[T]]) -> T:
    """Run a call in the nursery of an instance; block forever if the instance ends.

    A call to a stopped instance gets no response, not an error.
    """
    answers: list[T] = []
    errors: list[Exception] = []
    done = trio.Event()

    async def run() -> None:
        try:
            answers.append(await serve())
        except Exception as error:
            errors.append(error)
        done.set()

    if nursery is None or nursery.cancel_scope.cancel_called:
        await trio.sleep_forever()
    assert nursery is not None
    nursery.start_soon(run)
    await done.wait()
    if errors:
        raise errors[0]
    return answers[0]


def measure_message(message: Any) -> int:
    """Return the size of an encoded message in bytes."""
    return len(encode_message(message))


def _check_message(message: Any) -> int:
    """Return the size of an encoded message in bytes.

    :raises MessageNotSent: if a link over sockets would refuse the message.
    """
    try:
        n_bytes = measure_message(message)
    except DECODE_ERRORS as error:
        raise MessageNotSent(str(error)) from error
    if n_bytes > MAX_MESSAGE_BYTES:
        raise MessageNotSent(f"a message of {n_bytes} bytes is too large")
    return n_bytes


class LocalConnection(Connection):
    """A connection to a slot engine that counts toward its connection limit."""

    def __init__(
        self, network: LocalNetwork, endpoint: str, session: SlotSession
    ) -> None:
        self._network = network
        self._endpoint = endpoint
        self._session = session
        self._engine = session.engine
        self._n_silences = self._engine.faults.n_silences
        self._is_broken = False

    async def _call(
        self, serve: Callable[[], Awaitable[T]], cause: str = "statement.end"
    ) -> T:
        if self._is_broken:
            raise BatchResultLost("the connection is closed or broken")
        self._is_broken = True

        async def serve_unless_silent() -> T:
            if self._n_silences != self._engine.faults.n_silences:
                await trio.sleep_forever()
            return await _serve_with_faults(self._engine.faults, serve)

        slot = self._engine.settings.slot_id
        try:
            answer = await self._network.call(
                self._endpoint,
                slot,
                cause,
                serve_unless_silent,
                measure=measure_message,
            )
        except CeleryfoldError as error:
            self._is_broken = isinstance(error, BatchResultLost)
            raise
        self._is_broken = False
        return answer

    async def execute(
        self,
        statements: Sequence[Statement],
        *,
        begin: bool = False,
        commit: bool = False,
    ) -> BatchResult:
        """Run a batch."""
        reads = all(item.text.startswith("SELECT") for item in statements)
        cause = "statement.read" if reads else "statement.write"
        return await self._call(
            lambda: self._session.execute(statements, begin, commit), cause
        )

    async def rollback(self) -> None:
        """Roll back the open transaction."""

        async def serve() -> None:
            self._session.rollback()

        await self._call(serve)

    async def close(self) -> None:
        """Close the connection; the slot releases it with a delay.

        The delay is long if the network is cut, as for a half-open connection.
        """
        self._is_broken = True

        async def end() -> None:
            slot = self._engine.settings.slot_id
            cut = self._network.is_cut(self._endpoint, slot) or self._engine.faults.cut
            await trio.sleep(HALF_OPEN_TIMEOUT_S if cut else 0.001)
            self._session.close()

        self._network.spawn(end)


class LocalSlot(Slot):
    """Driver of a slot engine for one endpoint of the network."""

    def __init__(
        self, network: LocalNetwork, endpoint: str, engine: SlotEngine
    ) -> None:
        self.slot_id = engine.settings.slot_id
        self._network = network
        self._endpoint = endpoint
        self._engine = engine

    async def _call(
        self, cause: str, serve: Callable[[], Awaitable[T]], timeout_s: float
    ) -> T:
        try:
            with trio.fail_after(timeout_s):
                return await self._network.call(
                    self._endpoint,
                    self.slot_id,
                    cause,
                    lambda: _serve_with_faults(self._engine.faults, serve),
                )
        except trio.TooSlowError as error:
            raise SlotUnreachable(f"{self.slot_id} did not answer in time") from error

    async def connect(self) -> Connection:
        """Open a connection that counts toward the limit of the slot."""
        session = await self._call(
            "connect", self._engine.open_session, CONNECT_TIMEOUT_S
        )
        return LocalConnection(self._network, self._endpoint, session)

    async def fetch_status(
        self, wait_position: Position = NO_POSITION, wait_s: float = 0.0
    ) -> SlotStatus:
        """Return the state of the slot, waiting for a log position."""
        return await self._call(
            "status",
            lambda: self._engine.wait_status(wait_position, wait_s),
            CONTROL_TIMEOUT_S + wait_s,
        )

    async def promote(self, term: Term) -> SlotStatus:
        """Promote the slot to primary for a term."""

        async def serve() -> SlotStatus:
            return self._engine.promote(term)

        return await self._call("promote", serve, CONTROL_TIMEOUT_S)

    async def follow(self, primary: SlotId, address: str, term: Term) -> None:
        """Make the slot replicate from a primary."""

        async def serve() -> None:
            self._engine.follow(primary, address, term)

        await self._call("follow", serve, CONTROL_TIMEOUT_S)


class LocalLogSource:
    """Source of the log of another slot over the network."""

    def __init__(
        self, network: LocalNetwork, endpoint: SlotId, engine: SlotEngine
    ) -> None:
        self._network = network
        self._endpoint = endpoint
        self._engine = engine

    async def fetch_log(
        self, after: Position, after_term: Term, wait_s: float
    ) -> LogBatch:
        """Return the log entries after a position."""
        try:
            with trio.fail_after(LOG_TIMEOUT_S):
                return await self._network.call(
                    self._endpoint,
                    self._engine.settings.slot_id,
                    "replication",
                    lambda: self._engine.fetch_log(after, after_term, wait_s),
                    measure=measure_message,
                )
        except trio.TooSlowError as error:
            raise SlotUnreachable(
                "the primary did not return its log in time"
            ) from error


class LocalStore(Store):
    """Driver of the store engine for one endpoint of the network."""

    def __init__(
        self, network: LocalNetwork, endpoint: str, engine: StoreEngine
    ) -> None:
        self._network = network
        self._endpoint = endpoint
        self._engine = engine

    async def _call(
        self, cause: str, serve: Callable[[], Awaitable[T]], timeout_s: float
    ) -> T:
        try:
            with trio.fail_after(timeout_s):
                result = await self._network.call(
                    self._endpoint,
                    STORE_NAME,
                    cause,
                    lambda: _serve_with_faults(self._engine.faults, serve),
                )
        except trio.TooSlowError as error:
            raise StoreUnavailable("the store did not answer in time") from error
        except (HistoryLost, StoreConflict):
            self.era = self._engine.era
            raise
        self.era = self._engine.era
        return result

    async def get(self, key: str) -> StoreEntry | None:
        """Return an entry, or None."""

        async def serve() -> StoreEntry | None:
            return self._engine.get(key)

        return await self._call("store.get", serve, CONTROL_TIMEOUT_S)

    async def compare_and_swap(self, key: str, expected: int, value: bytes) -> int:
        """Write a value if the key is at the expected revision."""

        async def serve() -> int:
            return self._engine.compare_and_swap(key, expected, value)

        return await self._call("store.swap", serve, CONTROL_TIMEOUT_S)

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> list[StoreEntry]:
        """Return the entries below a prefix that changed after a revision."""
        return await self._call(
            "store.watch",
            lambda: self._engine.watch(prefix, after_revision, wait_s),
            CONTROL_TIMEOUT_S + wait_s,
        )


class LocalList(InstanceList):
    """Driver of the instance list for one endpoint of the network."""

    def __init__(
        self, network: LocalNetwork, endpoint: str, engine: ListEngine
    ) -> None:
        self._network = network
        self._endpoint = endpoint
        self._engine = engine

    async def fetch(self) -> Listing:
        """Return the current list."""

        async def serve() -> Listing:
            return self._engine.read()

        try:
            with trio.fail_after(CONTROL_TIMEOUT_S):
                return await self._network.call(
                    self._endpoint,
                    LIST_NAME,
                    "list",
                    lambda: _serve_with_faults(self._engine.faults, serve),
                )
        except trio.TooSlowError as error:
            raise ListUnavailable("the list did not answer in time") from error


class LocalLink(PeerLink):
    """Link between instances of one process; an address is the name of an endpoint.

    :param links: the links of all running instances by address.
    """

    def __init__(
        self, network: LocalNetwork, endpoint: str, links: dict[str, LocalLink]
    ) -> None:
        super().__init__()
        self.nursery: trio.Nursery | None = None
        self._network = network
        self._endpoint = endpoint
        self._links = links
        links[endpoint] = self

    async def request(
        self, address: str, message: msgspec.Struct, timeout_s: float
    ) -> Any:
        """Send a request to a peer and return its reply."""

        async def serve() -> Any:
            peer = self._links.get(address)
            if peer is None:
                await trio.sleep_forever()
            assert peer is not None
            reply = await run_in(
                peer.nursery, lambda: peer.handlers[type(message)](message)
            )
            try:
                _check_message(reply)
            except MessageNotSent as error:
                raise RequestFailure(ErrorKind.INTERNAL, str(error)) from error
            return reply

        n_bytes = _check_message(message) + 16
        cause = f"peer.{type(message).__name__}"
        try:
            with trio.fail_after(timeout_s):
                return await self._network.call(
                    self._endpoint, address, cause, serve, n_bytes, measure_message
                )
        except trio.TooSlowError as error:
            raise PeerUnreachable(f"{address} did not reply in time") from error

    async def close(self) -> None:
        """Remove the link, so that requests to it get no reply."""
        if self._links.get(self._endpoint) is self:
            del self._links[self._endpoint]
