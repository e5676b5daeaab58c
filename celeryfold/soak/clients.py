"""Simulated clients that run random statements and record the replies."""

from __future__ import annotations

__all__ = ["DATABASES", "SoakClient"]

import random
from collections.abc import Sequence

import trio

from ..kernel.ids import AccountId, RequestId
from ..platform.lines import LineStream, LineTooLong, open_line_stream
from ..proxy.routes import Consistency
from .account_history import AccountHistory, KeyRefusal
from .history import HistoryChecker, SentStatement

DATABASES = {kind.value: kind for kind in Consistency}
# Longer than any statement may take; the client then ends the session.
REPLY_TIMEOUT_S = 6.0
RETRY_S = 0.05
MAX_PAUSE_S = 0.15
# While a client sends several times the rate of its account.
MAX_SURGE_PAUSE_S = 0.02
# Error codes which guarantee that nothing of the attempt was committed.
NOT_COMMITTED_CODES = {
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "WRONGNODE",
    "TOOMANYCON",
    "AUTHFAIL",
}
ITEMS = "abcdef"
# Share of the written data, session values and shapes with one of the texts below.
ODD_SHARE = 0.25
# Bytes as clients may send them: Latin-1, all but control characters and the blank, DEL
# and NEL, an encoded surrogate, and a text that exceeds the usual buffers.
ODD_TEXTS = [
    data.decode("utf-8", "surrogateescape")
    for data in (
        b"M\xfcller",
        bytes(range(33, 256)),
        b"\x7f\xc2\x85",
        b"\xed\xa0\x80",
        "\u00fc\U0001d11e".encode(),
        b"\xff" * 70_000,
    )
]


class SessionEnded(Exception):
    """The connection was closed, timed out or sent a malformed reply."""


class StatementReply:
    """The reply to one statement.

    :param lines: its lines; the last two are the outcome and the session state.
    """

    def __init__(self, lines: list[str]) -> None:
        self.rows = [line[4:] for line in lines[:-2] if line.startswith("ROW ")]
        keyword, _, rest = lines[-2].partition(" ")
        self.signature = rest if keyword == "COMPLETE" else ""
        self.code = rest.split(" ")[0] if keyword == "ERROR" else ""
        self.state = lines[-1].split(" ")[1]


class SoakClient:
    """A client that opens one session after the other at random instances.

    :param ports: client ports of the instances.
    :param account: the account whose API keys it uses.
    :param accounts: the keys of all accounts; records refused keys.
    """

    def __init__(
        self,
        name: str,
        checker: HistoryChecker,
        ports: Sequence[int],
        rng: random.Random,
        account: AccountId,
        accounts: AccountHistory,
    ) -> None:
        self.name = name
        self.account = account
        self.accounts = accounts
        self.checker = checker
        self._ports = ports
        self.rng = rng
        self._n_sessions = 0
        self._n_sent = 0

    async def run(self) -> None:
        """Run sessions until cancelled."""
        while True:
            port = self.rng.choice(self._ports)
            try:
                lines = await open_line_stream("127.0.0.1", port)
            except OSError:
                # The instance is unreachable; the next attempt may choose another.
                await trio.sleep(RETRY_S)
                continue
            self._n_sessions += 1
            kind = self.rng.choice(list(Consistency))
            session = _Session(self, lines, kind, self._n_sessions, port)
            try:
                await session.run()
            except (SessionEnded, OSError, trio.BrokenResourceError, LineTooLong):
                # The outcome of the statement in progress is unknown.
                self.checker.n_unknown += 1
                await trio.sleep(RETRY_S)
            finally:
                await lines.close()

    async def try_write(self, kind: Consistency) -> bool:
        """Run a write in a new session; return whether it was acknowledged."""
        port = self.rng.choice(self._ports)
        try:
            lines = await open_line_stream("127.0.0.1", port)
        except OSError:
            # The instance cannot be reached; the caller retries.
            return False
        self._n_sessions += 1
        try:
            session = _Session(self, lines, kind, self._n_sessions, port)
            return await session.try_write()
        except (SessionEnded, OSError, trio.BrokenResourceError):
            # The session broke; the caller retries.
            return False
        finally:
            await lines.close()

    def choose_pause_s(self) -> float:
        """Return the pause before the next statement, in seconds."""
        is_surging = self.accounts.book.is_surging(self.account)
        return self.rng.uniform(0.0, MAX_SURGE_PAUSE_S if is_surging else MAX_PAUSE_S)

    def make_id(self) -> RequestId:
        """Return a unique request id."""
        self._n_sent += 1
        return RequestId(f"{self.name}-{self._n_sent}")


class _Session:
    def __init__(
        self,
        client: SoakClient,
        lines: LineStream,
        kind: Consistency,
        number: int,
        port: int,
    ) -> None:
        self._client = client
        self._checker = client.checker
        self._rng = client.rng
        self._lines = lines
        self._kind = kind
        self._session_name = f"{client.name}/{number}"
        self._port = port
        self._key = client.accounts.book.choose_key(client.account, client.rng)
        self._begun_at = 0.0
        self._values: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self._n_transactions = 0

    async def run(self) -> None:
        if not await self._start():
            return
        for _ in range(self._rng.randrange(1, 12)):
            action = self._rng.choice(
                [
                    self._read,
                    self._read,
                    self._write,
                    self._run_transaction,
                    self._set_value,
                ]
                + [self._prepare, self._execute]
            )
            if not await action():
                return
            await trio.sleep(self._client.choose_pause_s())
        await self._lines.send(["TERMINATE"])

    async def try_write(self) -> bool:
        """Run a write; return whether it was acknowledged."""
        if not await self._start():
            return False
        n_acknowledged = len(self._checker.acknowledged)
        await self._write()
        return len(self._checker.acknowledged) > n_acknowledged

    async def _start(self) -> bool:
        """Open the session; return whether the instance accepted it."""
        sent_at = trio.current_time()
        await self._lines.send([f"START {self._kind.value} {self._key}"])
        answer = await self._receive()
        if answer.startswith("ERROR AUTHFAIL"):
            self._record_key_refusal(sent_at)
        return answer.startswith("READY")

    def _record_key_refusal(self, sent_at: float) -> None:
        refusal = KeyRefusal(self._key, self._port, sent_at, trio.current_time())
        self._client.accounts.refusals.append(refusal)

    async def _receive(self) -> str:
        with trio.move_on_after(REPLY_TIMEOUT_S):
            line = await self._lines.receive()
            if line is None:
                raise SessionEnded
            return line.decode("utf-8", "surrogateescape")
        raise SessionEnded

    async def _query(self, request_id: RequestId, text: str) -> StatementReply:
        sent_at = trio.current_time()
        await self._lines.send([f"QUERY {request_id} {text}"])
        lines = [await self._receive()]
        while not lines[-1].startswith("READY"):
            lines.append(await self._receive())
        if len(lines) < 2:
            raise SessionEnded
        reply = StatementReply(lines)
        if reply.code:
            self._checker.n_refused += 1
            if reply.code == "AUTHFAIL":
                self._record_key_refusal(sent_at)
        else:
            self._checker.n_succeeded += 1
        return reply

    def _record_sent(
        self, transaction: int = 0, shape: str = "", writes: bool = False
    ) -> SentStatement:
        request_id = self._client.make_id()
        text = ""
        if writes:
            text = f"{self._rng.choice(ITEMS)} {request_id}{self._choose_odd_text()}"
        sent = SentStatement(
            request_id,
            self._session_name,
            trio.current_time(),
            dict(self._values),
            transaction,
            shape,
            writes,
            key=self._key,
            port=self._port,
            begun_at=self._begun_at if transaction else 0.0,
            text=text,
        )
        self._checker.record_sent(sent)
        return sent

    def _choose_odd_text(self) -> str:
        """Return a text that few codecs carry, or an empty one."""
        is_odd = self._rng.random() < ODD_SHARE
        return self._rng.choice(ODD_TEXTS) if is_odd else ""

    async def _read(self) -> bool:
        sent, item = self._record_sent(), self._rng.choice(ITEMS)
        reply = await self._query(sent.request_id, f"READ {item}")
        if not reply.code:
            self._checker.check_read(sent, self._kind, reply.signature)
            self._checker.check_rows(sent, item, reply.rows)
        return reply.state == "I"

    async def _write(self) -> bool:
        sent = self._record_sent(writes=True)
        reply = await self._query(sent.request_id, f"WRITE {sent.text}")
        self._record_write_reply([sent.request_id], reply)
        return reply.state == "I"

    def _record_write_reply(self, ids: list[RequestId], reply: StatementReply) -> None:
        if not reply.code:
            self._checker.record_committed(self._session_name, ids)
        elif reply.code in NOT_COMMITTED_CODES:
            self._checker.record_refused(ids)

    async def _run_transaction(self) -> bool:
        self._n_transactions += 1
        number = self._n_transactions
        self._begun_at = trio.current_time()
        begin_reply = await self._query(self._client.make_id(), "BEGIN")
        if begin_reply.code:
            return begin_reply.state == "I"
        ids: list[RequestId] = []
        for _ in range(self._rng.randrange(0, 4)):
            sent = self._record_sent(number, writes=True)
            ids.append(sent.request_id)
            reply = await self._query(sent.request_id, f"WRITE {sent.text}")
            if reply.code:
                break
            await trio.sleep(self._client.choose_pause_s())
        return await self._end(number, ids)

    async def _end(self, number: int, ids: list[RequestId]) -> bool:
        chance = self._rng.random()
        if chance < 0.1:
            return False
        if chance < 0.25:
            reply = await self._query(self._client.make_id(), "ROLLBACK")
            self._checker.record_refused(ids)
            return reply.state == "I"
        sent = self._record_sent(number)
        reply = await self._query(sent.request_id, "COMMIT")
        self._record_write_reply(ids, reply)
        return reply.state == "I"

    async def _set_value(self) -> bool:
        name, number = self._rng.choice("xy"), self._rng.randrange(100)
        value = f"{number}{self._choose_odd_text()}"
        reply = await self._query(self._client.make_id(), f"SET {name} {value}")
        if not reply.code:
            self._values[name] = value
        return not reply.code

    async def _prepare(self) -> bool:
        name, number = self._rng.choice("pq"), self._rng.randrange(5)
        shape = f"s{number}{self._choose_odd_text()}"
        if name in self._prepared:
            reply = await self._query(self._client.make_id(), f"DEALLOC {name}")
            if reply.code:
                return False
            del self._prepared[name]
        reply = await self._query(
            self._client.make_id(), f"PREPARE {name} READ {shape}"
        )
        if not reply.code:
            self._prepared[name] = shape
        return not reply.code

    async def _execute(self) -> bool:
        if not self._prepared:
            return True
        name, shape = self._rng.choice(sorted(self._prepared.items()))
        sent = self._record_sent(shape=shape)
        item = self._rng.choice(ITEMS)
        reply = await self._query(sent.request_id, f"EXECUTE {name} {item}")
        if reply.code == "NOSTMT":
            self._checker.violations.append(
                f"PINNED: {sent.request_id} did not find prepared statement {name}"
            )
        if not reply.code:
            self._checker.check_read(sent, self._kind, reply.signature)
            self._checker.check_rows(sent, item, reply.rows)
        return reply.state == "I"
