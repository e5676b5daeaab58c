"""What the proxy needs of the platform's promotion service."""

from __future__ import annotations

__all__ = ["PromotionRefused", "PromotionUnanswered", "Promotions"]

from abc import ABC, abstractmethod

from ..exceptions import CeleryfoldError
from ..kernel.ids import InstanceId, ServiceId, UpstreamId


class PromotionRefused(CeleryfoldError):
    """The platform refused to promote: the token is old or the upstream is not up."""


class PromotionUnanswered(CeleryfoldError):
    """No answer came; the promotion may still happen, also later."""


class Promotions(ABC):
    """The platform's service that makes an upstream the primary."""

    @abstractmethod
    async def promote(
        self, service: ServiceId, upstream: UpstreamId, holder: InstanceId, token: int
    ) -> None:
        """Make an upstream the primary of a service.

        :param token: the fencing token of the duty.
        :raises PromotionRefused: nothing was done.
        :raises PromotionUnanswered: it may have been done or may be done later.
        """
