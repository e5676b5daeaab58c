"""Promotion of databases through the platform's machine interface."""

from __future__ import annotations

__all__ = ["HttpPromotions"]

import msgspec
import trio

from ..kernel.ids import InstanceId, ServiceId, UpstreamId
from ..kernel.metrics import Metrics
from ..proxy.promotions import (
    PromotionNotMade,
    PromotionRefused,
    Promotions,
    PromotionUnanswered,
)
from ..wire.client import HttpClient, ResponseLost, Unreachable

# The platform responds within about 12 ms; repeating a promotion is harmless.
CALL_TIMEOUT_S = 0.5
OK = 200
# The fencing token is lower than one seen before, or the database is not running.
CONFLICT = 409
# More calls in a second than the platform accepts.
TOO_MANY = 429
# Below the time-out of the call: without a connection nothing was sent.
CONNECT_TIMEOUT_S = 0.4


class HttpPromotions(Promotions):
    """Promotes databases through the platform's machine interface."""

    def __init__(self, address: str, metrics: Metrics) -> None:
        self._client = HttpClient(address, connect_timeout_s=CONNECT_TIMEOUT_S)
        self._metrics = metrics

    async def promote(
        self, service: ServiceId, upstream: UpstreamId, holder: InstanceId, token: int
    ) -> None:
        """Promote a database to primary of a service.

        :param holder: instance that holds the lease.
        :param token: fencing token of the lease.
        :raises PromotionRefused: if the platform rejects the promotion.
        :raises PromotionNotMade: if the call is never carried out.
        :raises PromotionUnanswered: if the promotion is not confirmed; it may still
            have taken effect.
        """
        self._metrics.count("platform.promote")
        body = msgspec.json.encode({"service": service, "id": upstream})
        headers = (
            ("Content-Type", "application/json"),
            ("Celeryfold-Lease-Holder", holder),
            ("Celeryfold-Fencing-Token", str(token)),
        )
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                response = await self._client.request("POST", "/promote", body, headers)
        except Unreachable as error:
            raise PromotionNotMade(str(error)) from error
        except (ResponseLost, trio.TooSlowError) as error:
            raise PromotionUnanswered(str(error)) from error
        if response.status == CONFLICT:
            raise PromotionRefused(response.body.decode("utf-8", "replace"))
        if response.status == TOO_MANY:
            raise PromotionNotMade("the platform accepts no more calls this second")
        if response.status != OK:
            raise PromotionUnanswered(
                f"promotion call returned status {response.status}"
            )
