"""Exchange of requests and replies on a pooled connection, with a time-out."""

from __future__ import annotations

__all__ = ["ExchangeFailed", "exchange"]

from collections.abc import Sequence

import trio

from ..exceptions import CeleryfoldError
from .answers import FailureCause
from .pool import Pool, PooledConnection, ReleaseState
from .statements import Request
from .upstream import ConnectionLost, Reply


class ExchangeFailed(CeleryfoldError):
    """Replies are missing; the connection is closed.

    :param cause: why the exchange ended.
    :param replies: the replies received, in order of the requests.
    :param text: the reason, for the log and the client.
    :param is_silent: whether the upstream sent nothing on any connection of the pool
        during the exchange.
    """

    def __init__(
        self,
        cause: FailureCause,
        replies: list[Reply],
        text: str,
        is_silent: bool = False,
    ) -> None:
        super().__init__(text)
        self.is_silent = is_silent
        self.cause = cause
        self.replies = replies


async def exchange(
    pool: Pool,
    pooled: PooledConnection,
    requests: Sequence[Request],
    timeout_s: float,
) -> list[Reply]:
    """Send requests together and return their replies.

    :param pooled: a connection of the pool, in use by the caller.
    :param timeout_s: how long all replies may take, in seconds.
    :raises ExchangeFailed: replies are missing; the connection is released as broken.
    """
    replies: list[Reply] = []
    last_reply_at = pool.last_reply_at
    try:
        with trio.fail_after(max(timeout_s, 0.0)):
            await pooled.connection.send(requests)
            while len(replies) < len(requests):
                reply = await pooled.connection.receive()
                pool.record_reply(pooled)
                replies.append(reply)
    except ConnectionLost as error:
        pool.release(pooled, ReleaseState.BROKEN)
        raise ExchangeFailed(FailureCause.LOST, replies, str(error)) from error
    except trio.TooSlowError as error:
        pool.release(pooled, ReleaseState.BROKEN)
        is_silent = pool.last_reply_at == last_reply_at
        if is_silent:
            pool.close_idle()
        text = (
            f"{pool.upstream.upstream_id} did not send all replies within "
            f"{timeout_s * 1000:.0f} ms"
        )
        raise ExchangeFailed(
            FailureCause.TIMED_OUT, replies, text, is_silent
        ) from error
    except BaseException:
        pool.release(pooled, ReleaseState.BROKEN)
        raise
    return replies
