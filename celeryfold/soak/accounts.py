"""The client accounts of a soak, with all versions of their keys and limits."""

from __future__ import annotations

__all__ = ["PROBE_ACCOUNT", "AccountBook", "KeyLifetime", "Limit"]

import math
import random
from dataclasses import dataclass

import trio

from ..kernel.ids import AccountId

# Used to find out whether an instance serves; its keys and limits never change.
PROBE_ACCOUNT = AccountId("probe")
# The account whose clients send several times its rate at times.
SURGING_ACCOUNT = AccountId("small-0")
# Rate per second and burst. A surge sends more than five times the lowest rate, so that
# it passes the bound of a window even with its slack.
FIRST_LIMITS = {
    AccountId("large"): (120.0, 60.0),
    SURGING_ACCOUNT: (8.0, 8.0),
    AccountId("small-1"): (25.0, 10.0),
    AccountId("small-2"): (25.0, 10.0),
}
# Accounts of the clients, in turn.
CLIENT_ACCOUNTS = ("large", "small-0", "small-1", "large", "small-0", "small-2")
N_KEYS = 3
LIMIT_FACTORS = (0.5, 1.0, 2.0)
WITHDRAWN_KEY_SHARE = 0.25
UNKNOWN_KEY_SHARE = 0.03
# Surges last longer than the window of the rate limits.
SURGE_S = 7.0
SURGE_PERIOD_S = 10.0


@dataclass
class KeyLifetime:
    """The life of one API key; a withdrawn key is never added again.

    :param added_at: when the first version with the key was acknowledged.
    :param withdrawn_at: when the first version without it was acknowledged.
    """

    account: AccountId
    added_at: float = -math.inf
    withdrawn_at: float = math.inf


@dataclass(frozen=True)
class Limit:
    """One version of the limits of an account.

    :param since: when the version was acknowledged.
    """

    rate_per_s: float
    burst: float
    since: float = -math.inf


class AccountBook:
    """The accounts of the configuration, with their past keys and limits."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(f"{seed} accounts")
        self._n_keys = 0
        self._started_at: float | None = None
        self.keys: dict[str, KeyLifetime] = {}
        self.limits = {
            account: [Limit(*limit)] for account, limit in FIRST_LIMITS.items()
        }
        for account in [PROBE_ACCOUNT, *FIRST_LIMITS]:
            for _ in range(N_KEYS):
                self._add_key(account, -math.inf)

    def _add_key(self, account: AccountId, at: float) -> None:
        self._n_keys += 1
        self.keys[f"key-{self._n_keys}"] = KeyLifetime(account, at)

    def change(self) -> str:
        """Withdraw a key, add another and change a limit; describe the change.

        The caller publishes a version of the configuration at once.
        """
        now = trio.current_time()
        account = self._rng.choice(list(FIRST_LIMITS))
        key = self._rng.choice(self.list_keys()[account])
        self.keys[key].withdrawn_at = now
        self._add_key(account, now)
        limited = self._rng.choice(list(FIRST_LIMITS))
        rate_per_s, burst = FIRST_LIMITS[limited]
        factor = self._rng.choice(LIMIT_FACTORS)
        self.limits[limited].append(Limit(rate_per_s * factor, burst * factor, now))
        return f"{key} of {account} withdrawn, limit of {limited} x{factor}"

    def list_keys(self) -> dict[str, list[str]]:
        """Return the keys of each account in the newest version."""
        keys: dict[str, list[str]] = {}
        for key, lifetime in self.keys.items():
            if lifetime.withdrawn_at == math.inf:
                keys.setdefault(lifetime.account, []).append(key)
        return keys

    def list_limits(self) -> dict[str, tuple[float, float]]:
        """Return rate and burst of each limited account in the newest version."""
        newest = {account: limits[-1] for account, limits in self.limits.items()}
        return {name: (limit.rate_per_s, limit.burst) for name, limit in newest.items()}

    def choose_key(self, account: AccountId, rng: random.Random) -> str:
        """Return a key for a session: mostly a valid one, else a withdrawn one."""
        chance = rng.random()
        if account == PROBE_ACCOUNT:
            return self.list_keys()[account][0]
        if chance < UNKNOWN_KEY_SHARE:
            return "key-of-nobody"
        own = [key for key, life in self.keys.items() if life.account == account]
        withdrawn = [key for key in own if self.keys[key].withdrawn_at < math.inf]
        if withdrawn and chance < UNKNOWN_KEY_SHARE + WITHDRAWN_KEY_SHARE:
            return rng.choice(withdrawn)
        return rng.choice([key for key in own if key not in withdrawn])

    def is_surging(self, account: AccountId) -> bool:
        """Return whether the clients of an account send more than its rate now."""
        if account != SURGING_ACCOUNT:
            return False
        now = trio.current_time()
        if self._started_at is None:
            self._started_at = now
        return (now - self._started_at) % SURGE_PERIOD_S < SURGE_S
