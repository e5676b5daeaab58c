"""The decision of a rate coordinator on each token, without network."""

from __future__ import annotations

__all__ = ["TokenGranter"]

import logging
from collections.abc import Callable
from dataclasses import dataclass

from ..kernel.ids import AccountId, Generation
from .buckets import Bucket, Grant
from .rate_messages import TokenReply, Verdict
from .rates import RateLimitBounds
from .roles import LEASE_S, CoordinatorRoles
from .rules import AccountRules

log = logging.getLogger(__name__)

# Share of the permitted slack that a new bucket starts with. Within a window, two
# further coordinators may start one, and the first one up to three if it restarts
# repeatedly.
INITIAL_SHARE_OF_SLACK = 0.2
LOG_INTERVAL_S = 1.0


@dataclass
class _Refusals:
    """The refusals of an account since the last log line."""

    n_refused: int
    logged_at: float


@dataclass
class _Usage:
    """What was granted of an account since the last log line about its share."""

    share: float
    n_granted: int = 0


class TokenGranter:
    """The token buckets of the accounts that this instance coordinates.

    :param clock: returns the current time in seconds.
    """

    def __init__(
        self,
        roles: CoordinatorRoles,
        bounds: RateLimitBounds,
        clock: Callable[[], float],
    ) -> None:
        self._roles = roles
        self._bounds = bounds
        self._clock = clock
        self._accounts: dict[AccountId, AccountRules] = {}
        # The accounts that have a rate.
        self._rules: dict[AccountId, AccountRules] = {}
        self._version = Generation(0)
        self._buckets: dict[AccountId, Bucket] = {}
        self._let_pass_at: dict[AccountId, float] = {}
        self._refusals: dict[AccountId, _Refusals] = {}
        self._usage: dict[AccountId, _Usage] = {}

    @property
    def has_rates(self) -> bool:
        """Whether any account has a rate."""
        return bool(self._rules)

    @property
    def n_buckets(self) -> int:
        """Number of buckets in memory."""
        return len(self._buckets)

    def adopt(
        self, accounts: dict[AccountId, AccountRules], version: Generation
    ) -> None:
        """Apply the accounts of the configuration."""
        if accounts is not self._accounts:
            self._accounts = accounts
            self._rules = list_limited(accounts)
        self._version = version

    def update(self) -> None:
        """Apply the current roles.

        Called at short intervals, so that buckets fill while they are not used.
        """
        now = self._clock()
        rules = self._rules
        self._roles.update(rules)
        for account in rules:
            self._prepare_bucket(account, now)
        self._log_shares()
        for account, bucket in list(self._buckets.items()):
            self._drop_if_unused(account, bucket, now)
        oldest = now - self._bounds.window_s
        passed = self._let_pass_at.items()
        self._let_pass_at = {a: at for a, at in passed if at > oldest}
        self._log_refusals(now)

    def _prepare_bucket(self, account: AccountId, now: float) -> Bucket | None:
        """Return the bucket of an account, or None if this instance grants nothing."""
        share = self._roles.find_share(account)
        rules = self._rules.get(account)
        bucket = self._buckets.get(account)
        if share <= 0.0 or rules is None or rules.rate_per_s is None:
            if bucket is not None:
                bucket.suspend(now)
            return None
        rate_per_s, burst = rules.rate_per_s * share, rules.burst * share
        n_initial = INITIAL_SHARE_OF_SLACK * self._bounds.slack
        if bucket is None:
            bucket = Bucket(rate_per_s, burst, n_initial, now)
            self._buckets[account] = bucket
        bucket.resume(now, n_initial, self._bounds.window_s)
        bucket.set_limit(rate_per_s, burst, now)
        return bucket

    def _drop_if_unused(self, account: AccountId, bucket: Bucket, now: float) -> None:
        if account not in self._rules:
            bucket.suspend(now)
        suspended_at = bucket.suspended_at
        if suspended_at is not None and now - suspended_at > self._bounds.window_s:
            del self._buckets[account]

    def take(
        self, account: AccountId, wait_s: float, version: Generation
    ) -> TokenReply:
        """Decide on one token.

        :param wait_s: how long the operation may wait, in seconds.
        :param version: the generation of the requester's configuration.
        """
        now = self._clock()
        if account not in self._accounts:
            return self._take_unknown(account, version, now)
        if account not in self._rules:
            # The configurations differ, and in that of this instance there is no rate.
            return TokenReply(Verdict.GRANTED)
        bucket = self._prepare_bucket(account, now)
        if bucket is None:
            return TokenReply(Verdict.UNABLE, LEASE_S)
        outcome = bucket.take(now, wait_s)
        if isinstance(outcome, Grant):
            usage = self._usage.get(account)
            if usage is None:
                share = self._roles.find_share(account)
                usage = self._usage[account] = _Usage(share)
                self._log_share(account, usage, share)
            usage.n_granted += 1
            return TokenReply(Verdict.GRANTED, outcome.delay_s)
        self._count_refusal(account, now)
        is_partial = self._roles.is_partial(account)
        verdict = Verdict.PARTLY_REFUSED if is_partial else Verdict.REFUSED
        return TokenReply(verdict, outcome.retry_after_s)

    def _take_unknown(
        self, account: AccountId, version: Generation, now: float
    ) -> TokenReply:
        """Let one operation per window pass if only the requester knows the account."""
        passed_at = self._let_pass_at.get(account)
        is_known_to_requester = version > self._version
        is_due = passed_at is None or now - passed_at > self._bounds.window_s
        if not (is_known_to_requester and is_due):
            return TokenReply(Verdict.UNABLE, LEASE_S)
        self._let_pass_at[account] = now
        return TokenReply(Verdict.GRANTED)

    def _log_shares(self) -> None:
        """Log the shares that have changed, of accounts that are in use."""
        for account, usage in list(self._usage.items()):
            share = self._roles.find_share(account)
            if share == usage.share:
                continue
            self._log_share(account, usage, share)
            if share > 0.0 and usage.n_granted > 0:
                self._usage[account] = _Usage(share)
            else:
                del self._usage[account]

    def _log_share(self, account: AccountId, usage: _Usage, share: float) -> None:
        extra = {
            "account": account,
            "share": round(share, 3),
            "n_granted": usage.n_granted,
            "former_share": round(usage.share, 3),
            "n_known": self._roles.fleet.n_known,
        }
        log.info("share of a rate", extra=extra)

    def _count_refusal(self, account: AccountId, now: float) -> None:
        refusals = self._refusals.get(account)
        if refusals is None:
            self._refusals[account] = _Refusals(0, now)
            self._log(account, 1)
        else:
            refusals.n_refused += 1

    def _log_refusals(self, now: float) -> None:
        """Log the refusals of each account, at most once a second."""
        for account, refusals in list(self._refusals.items()):
            if now - refusals.logged_at < LOG_INTERVAL_S:
                continue
            if refusals.n_refused:
                self._log(account, refusals.n_refused)
                self._refusals[account] = _Refusals(0, now)
            else:
                del self._refusals[account]

    def _log(self, account: AccountId, n_refused: int) -> None:
        rules = self._rules.get(account)
        extra = {
            "account": account,
            "n_refused": n_refused,
            "rate_per_s": rules.rate_per_s if rules is not None else None,
            "burst": rules.burst if rules is not None else None,
        }
        log.info("account over its rate", extra=extra)


def list_limited(
    accounts: dict[AccountId, AccountRules],
) -> dict[AccountId, AccountRules]:
    """Return the accounts that have a rate."""
    return {a: rules for a, rules in accounts.items() if rules.rate_per_s is not None}
