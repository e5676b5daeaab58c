"""Rate limits over all instances: each operation takes a token of a coordinator."""

from __future__ import annotations

__all__ = ["DistributedRateLimiter"]

import logging
import math
import random
from collections.abc import Callable, Sequence

import trio

from ..exceptions import CeleryfoldError, RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import AccountId, InstanceId
from ..kernel.metrics import Metrics
from ..links import PeerLink
from .coordinators import RateCoordinator, ReadAccounts
from .fleet import Sighting
from .rate_messages import TakeToken, TokenReply, Verdict
from .rates import RateLimiter
from .rules import AccountRules

log = logging.getLogger(__name__)

# Four round trips between regions.
TOKEN_TIMEOUT_S = 0.25
# The first request to an instance opens a link, which takes four further round trips.
FIRST_TOKEN_TIMEOUT_S = 0.5
# Links that are not used are closed after a while, and opened again.
CONTACT_EXPIRY_S = 15.0
LOG_INTERVAL_S = 1.0
# An instance that did not answer is asked again after this time, by one operation.
# Longer than the time-outs of all coordinators; those whose links are to be opened are
# asked together.
AVOIDANCE_S = 1.0
# Range of retry times where the rate cannot be checked. The lease of a lost coordinator
# ends within it.
MIN_UNCHECKED_RETRY_S = 0.5
MAX_UNCHECKED_RETRY_S = 1.5


class DistributedRateLimiter(RateLimiter):
    """Asks the coordinators of an account for a token for each operation.

    :param coordinator: the coordinator of this instance.
    :param read_accounts: returns the accounts and the version of the configuration.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        link: PeerLink,
        coordinator: RateCoordinator,
        read_accounts: ReadAccounts,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._instance_id = instance_id
        self._link = link
        self._coordinator = coordinator
        self._read_accounts = read_accounts
        self._clock = clock
        self._metrics = metrics
        self._avoided: dict[InstanceId, float] = {}
        self._replied_at: dict[InstanceId, float] = {}
        self._n_unchecked = 0
        self._unchecked_logged_at = -math.inf

    async def admit(self, account: AccountId, wait_s: float) -> None:
        """Wait until an operation of an account may start."""
        table, version = self._read_accounts()
        rules = table.accounts.get(account) if table is not None else None
        if rules is None or rules.rate_per_s is None:
            return
        ends_at = self._clock() + wait_s
        ranked = self._coordinator.fleet.rank(account)
        refusal: TokenReply | None = None
        rank, has_waited = 0, False
        while rank < len(ranked):
            asked = ranked[rank : rank + 1]
            if has_waited and not self._is_link_open(asked[0].instance_id):
                # One time-out for the links to all of them that are to be opened.
                asked = ranked[rank:]
            rank += len(asked)
            left_s = max(ends_at - self._clock(), 0.0)
            message = TakeToken(account, left_s, version)
            began_at = self._clock()
            for reply in await self._ask_all(asked, message, has_waited):
                if reply.verdict is Verdict.GRANTED:
                    await self._start(reply, is_substitute=rank > 1)
                    return
                if reply.verdict is Verdict.REFUSED:
                    self._raise_refusal(rules, reply)
                if reply.verdict is Verdict.PARTLY_REFUSED:
                    refusal = reply
            has_waited |= self._clock() - began_at >= TOKEN_TIMEOUT_S
        self._raise_refusal(rules, refusal)

    async def _ask_all(
        self, members: Sequence[Sighting], message: TakeToken, has_waited: bool
    ) -> list[TokenReply]:
        """Return the replies of coordinators, a granted token first.

        A token that a further one grants at the same time is lost.
        """
        if len(members) == 1:
            only = await self._ask(members[0], message, has_waited)
            return [] if only is None else [only]
        replies: list[TokenReply] = []

        async def ask(member: Sighting) -> None:
            reply = await self._ask(member, message, has_waited)
            if reply is not None:
                replies.append(reply)
                if reply.verdict is Verdict.GRANTED:
                    nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(ask, member)
        return sorted(replies, key=lambda r: r.verdict is not Verdict.GRANTED)

    async def _start(self, reply: TokenReply, is_substitute: bool) -> None:
        self._metrics.count("rate.granted")
        if is_substitute:
            self._metrics.count("rate.substitute")
        if reply.wait_s > 0.0:
            self._metrics.count("rate.delayed")
            await trio.sleep(reply.wait_s)

    async def _ask(
        self, member: Sighting, message: TakeToken, has_waited: bool
    ) -> TokenReply | None:
        """Return the reply of a coordinator, or None if there is none.

        :param has_waited: whether the operation has waited for another coordinator in
            vain, and tries none that did not answer before.
        """
        if member.instance_id == self._instance_id:
            return self._coordinator.take(message)
        now = self._clock()
        avoided_until = self._avoided.get(member.instance_id)
        if avoided_until is not None:
            if has_waited or now < avoided_until:
                return None
            # The others go on avoiding it until this request is answered.
            self._avoid(member)
        try:
            timeout_s = self._find_timeout_s(member.instance_id)
            reply = await self._link.request(member.address, message, timeout_s)
        except CeleryfoldError:
            self._metrics.count("rate.unanswered")
            self._avoid(member)
            return None
        self._avoided.pop(member.instance_id, None)
        self._replied_at[member.instance_id] = self._clock()
        return reply if isinstance(reply, TokenReply) else None

    def _find_timeout_s(self, instance: InstanceId) -> float:
        is_open = self._is_link_open(instance)
        return TOKEN_TIMEOUT_S if is_open else FIRST_TOKEN_TIMEOUT_S

    def _is_link_open(self, instance: InstanceId) -> bool:
        if instance == self._instance_id:
            return True
        replied_at = self._replied_at.get(instance, -math.inf)
        return self._clock() - replied_at < CONTACT_EXPIRY_S

    def _avoid(self, member: Sighting) -> None:
        self._avoided[member.instance_id] = self._clock() + AVOIDANCE_S

    def _raise_refusal(self, rules: AccountRules, refusal: TokenReply | None) -> None:
        if refusal is None:
            self._metrics.count("rate.unchecked")
            self._log_unchecked(rules.account)
            retry_s = random.uniform(MIN_UNCHECKED_RETRY_S, MAX_UNCHECKED_RETRY_S)
            text = (
                f"the rate of account {rules.account} cannot be checked at the moment"
            )
            raise RequestFailure(ErrorKind.NOT_RUN, text, retry_s)
        self._metrics.count("rate.refused")
        text = (
            f"account {rules.account} is over its rate of {rules.rate_per_s:g}"
            " operations per second"
        )
        raise RequestFailure(ErrorKind.RATE_EXCEEDED, text, refusal.wait_s)

    def _log_unchecked(self, account: AccountId) -> None:
        """Log that operations cannot be checked, at most once a second."""
        self._n_unchecked += 1
        now = self._clock()
        if now - self._unchecked_logged_at < LOG_INTERVAL_S:
            return
        ranked = [m.instance_id for m in self._coordinator.fleet.rank(account)]
        extra = {
            "account": account,
            "coordinators": ranked,
            "avoided": [name for name in ranked if self._avoided.get(name, 0.0) > now],
            "n": self._n_unchecked,
        }
        log.warning("rate not checked", extra=extra)
        self._n_unchecked = 0
        self._unchecked_logged_at = now
