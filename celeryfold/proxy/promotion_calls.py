"""Which upstreams the promotion calls of a service may still promote."""

from __future__ import annotations

__all__ = ["PromotionCalls"]

from collections.abc import Collection

from ..kernel.ids import UpstreamId


class PromotionCalls:
    """The promotion calls of a service that may still be carried out.

    A call without an answer may be carried out much later, and it is accepted as long
    as no newer token has been used. Each token therefore names one upstream only, and
    an answer makes certain that the platform refuses all calls with older tokens.
    """

    def __init__(self) -> None:
        self._token = 0
        self._target: UpstreamId | None = None
        # The calls with this token that have no answer.
        self._n_unanswered = 0
        self._named: frozenset[UpstreamId] | None = frozenset()

    @property
    def named(self) -> frozenset[UpstreamId] | None:
        """The upstreams that open calls may name, or None if they are not known."""
        return self._named

    def restore(
        self, is_settled: bool, targets: Collection[UpstreamId] | None = None
    ) -> None:
        """Apply the record of the previous holder; own calls stay open.

        :param is_settled: whether none of its calls can depose the primary any more.
        :param targets: the upstreams that its open calls may name, or None if that is
            not known.
        """
        if is_settled:
            return
        if targets is None or self._named is None:
            self._named = None
        else:
            self._named |= frozenset(targets)

    def may_depose(self, primary: UpstreamId) -> bool:
        """Return whether an open call may name an upstream other than the primary."""
        return self._named is None or bool(self._named - {primary})

    def needs_newer_token(self, token: int, target: UpstreamId) -> bool:
        """Return whether a call with this token has named another upstream.

        :param token: the fencing token of the duty.
        :param target: the upstream to promote.
        """
        return self._token == token and self._target != target

    def record_sent(self, token: int, target: UpstreamId) -> None:
        """Record a call before it is sent."""
        if token != self._token:
            self._n_unanswered = 0
        self._n_unanswered += 1
        self._token = token
        self._target = target
        if self._named is not None:
            self._named |= {target}

    def record_not_made(self, before: frozenset[UpstreamId] | None) -> None:
        """Record that the latest call is never carried out from now on.

        :param before: the value of :attr:`named` before the call.
        """
        self._n_unanswered -= 1
        self._named = before

    def record_answered(self, target: UpstreamId) -> None:
        """Record that the platform has accepted the latest call."""
        self._n_unanswered -= 1
        self._named = frozenset((target,)) if self._n_unanswered else frozenset()
