"""The client accounts of a configuration and their API keys."""

from __future__ import annotations

__all__ = ["NO_ACCOUNT", "AccountRules", "AccountTable", "KeyDigest", "digest_key"]

import hashlib
from typing import NewType

import msgspec

from ..kernel.ids import AccountId

KeyDigest = NewType("KeyDigest", str)

# The account of statements that the proxy issues itself and of public routes.
NO_ACCOUNT = AccountId("")


def digest_key(key: str) -> KeyDigest:
    """Return the SHA-256 digest of an API key.

    Lookups by digest reveal nothing of the keys by their duration, and sessions do not
    hold keys in the clear.
    """
    return KeyDigest(hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest())


class AccountRules(msgspec.Struct, frozen=True):
    """The rules of one client account.

    :param rate_per_s: operations per second, over all instances; None if unlimited.
    :param burst: operations that may start at once after a time without any.
    """

    account: AccountId
    rate_per_s: float | None = None
    burst: float = 0.0


class AccountTable(msgspec.Struct, frozen=True):
    """The client accounts of one version of the configuration.

    :param keys: the account of each API key, by the digest of the key.
    """

    accounts: dict[AccountId, AccountRules]
    keys: dict[KeyDigest, AccountId]

    def find_account(self, digest: KeyDigest) -> AccountId | None:
        """Return the account that holds a key, or None if the key is unknown."""
        return self.keys.get(digest)
