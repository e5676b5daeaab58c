"""Interface of the platform's promotion service."""

from __future__ import annotations

__all__ = [
    "PromotionNotMade",
    "PromotionRefused",
    "PromotionUnanswered",
    "Promotions",
]

from abc import ABC, abstractmethod

from ..exceptions import CeleryfoldError
from ..kernel.ids import InstanceId, ServiceId, UpstreamId


class PromotionRefused(CeleryfoldError):
    """The platform refused the promotion: the token is old or the upstream is down."""


class PromotionUnanswered(CeleryfoldError):
    """No answer was received; the promotion may have happened or may happen later."""


class PromotionNotMade(CeleryfoldError):
    """The call was not sent or not accepted, so it is never carried out."""


class Promotions(ABC):
    """The platform's service that promotes an upstream to primary."""

    @abstractmethod
    async def promote(
        self, service: ServiceId, upstream: UpstreamId, holder: InstanceId, token: int
    ) -> None:
        """Promote an upstream to primary of a service.

        :param holder: the instance that holds the duty of the service.
        :param token: the fencing token of the duty.
        :raises PromotionRefused: if the platform refused; nothing was done.
        :raises PromotionNotMade: if the call is never carried out.
        :raises PromotionUnanswered: if no answer was received; the promotion may have
            happened or may happen later.
        """
