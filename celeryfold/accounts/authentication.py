"""Decides which account an API key identifies, and whether keys can be checked."""

from __future__ import annotations

__all__ = ["Authenticator", "abbreviate_digest"]

import random
from collections.abc import Callable

from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import AccountId
from ..kernel.metrics import Metrics
from .rules import NO_ACCOUNT, AccountTable, KeyDigest
from .settings import KeyRevocation

# Enough to tell keys apart in the log; the key cannot be derived from it.
N_DIGEST_CHARACTERS = 8
# Bounds of the time after which to retry while the configuration is unconfirmed. It is
# random so that clients that are refused together do not retry together.
MIN_RETRY_S = 0.5
MAX_RETRY_S = 1.5


def abbreviate_digest(digest: KeyDigest | None) -> str:
    """Return the text by which the log refers to a key; ``-`` for a missing one."""
    return digest[:N_DIGEST_CHARACTERS] if digest else "-"


class Authenticator:
    """Looks up API keys in the configuration in force.

    :param find_accounts: returns the accounts of the configuration in force, None if
        clients need no key.
    :param find_age_s: returns the seconds since the store last confirmed the
        configuration, directly or through peers.
    :param revocation: None to accept keys whatever the configuration's age.
    """

    def __init__(
        self,
        find_accounts: Callable[[], AccountTable | None],
        find_age_s: Callable[[], float],
        revocation: KeyRevocation | None,
        metrics: Metrics,
    ) -> None:
        self._find_accounts = find_accounts
        self._find_age_s = find_age_s
        self._revocation = revocation
        self._metrics = metrics

    def find_account(
        self, is_public: bool, digest: KeyDigest | None
    ) -> AccountId | None:
        """Return the account of a key, or None if the key is missing or unknown.

        :param is_public: whether the route needs no key.
        :returns: ``NO_ACCOUNT`` if no key is needed.
        """
        accounts = self._find_accounts()
        if accounts is None or is_public:
            return NO_ACCOUNT
        return accounts.find_account(digest) if digest is not None else None

    def authenticate(self, is_public: bool, digest: KeyDigest | None) -> AccountId:
        """Return the account under which a request may run.

        :param is_public: whether the route needs no key.
        :returns: ``NO_ACCOUNT`` if no key is needed.
        :raises RequestFailure: the key is missing or unknown, or cannot be checked.
        """
        self.check_confirmed(is_public)
        account = self.find_account(is_public, digest)
        if account is None:
            text = "the API key is missing or unknown; connect with a valid key"
            raise RequestFailure(ErrorKind.NOT_AUTHENTICATED, text)
        return account

    def check_confirmed(self, is_public: bool) -> None:
        """Check that the configuration is recent enough for keys to be checked.

        :param is_public: whether the route needs no key.
        :raises RequestFailure: a key is needed, revocation is strict, and the store has
            not confirmed the configuration within the time-out.
        """
        revocation = self._revocation
        if revocation is None or not revocation.is_strict:
            return
        if is_public or self._find_accounts() is None:
            return
        if self._find_age_s() <= revocation.timeout_s:
            return
        self._metrics.count("session.key_unconfirmed")
        text = (
            "API keys cannot be checked: the configuration has not been confirmed for "
            f"{revocation.timeout_s:.1f} s; nothing was run"
        )
        retry_after_s = random.uniform(MIN_RETRY_S, MAX_RETRY_S)
        raise RequestFailure(ErrorKind.NOT_RUN, text, retry_after_s)
