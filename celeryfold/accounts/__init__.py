"""Client accounts: API keys and rates."""

from __future__ import annotations

__all__ = [
    "NO_ACCOUNT",
    "AccountRules",
    "AccountTable",
    "Authenticator",
    "KeyDigest",
    "KeyRevocation",
    "RateLimitBounds",
    "RateLimiter",
    "UnlimitedRates",
    "abbreviate_digest",
    "digest_key",
]

from .authentication import Authenticator, abbreviate_digest
from .rates import RateLimitBounds, RateLimiter, UnlimitedRates
from .rules import NO_ACCOUNT, AccountRules, AccountTable, KeyDigest, digest_key
from .settings import KeyRevocation
