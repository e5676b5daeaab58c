"""Which upstreams the promotion calls of a service may still promote."""

from __future__ import annotations

__all__ = ["PromotionCalls"]

from ..kernel.ids import UpstreamId


class PromotionCalls:
    """The promotion calls that the holder of a duty has sent.

    A call without an answer may be carried out much later, and it is accepted as long
    as no newer token has been used. Each token therefore names one upstream only: the
    promotion of another one makes the platform refuse all earlier calls.
    """

    def __init__(self) -> None:
        self._token = 0
        self._target: UpstreamId | None = None

    def needs_newer_token(self, token: int, target: UpstreamId) -> bool:
        """Return whether a call with this token has named another upstream.

        :param token: the fencing token of the duty.
        :param target: the upstream to promote.
        """
        return self._token == token and self._target != target

    def record_sent(self, token: int, target: UpstreamId) -> None:
        """Record a call before it is sent."""
        self._token = token
        self._target = target
