"""Messages between instances about the rates of accounts."""

from __future__ import annotations

__all__ = [
    "RATE_CODEC_TYPES",
    "LeaseReply",
    "RenewLease",
    "TakeToken",
    "TokenReply",
    "Verdict",
]

from enum import Enum

import msgspec

from ..kernel.ids import AccountId, Generation, InstanceId
from .fleet import MissingMember


class Verdict(Enum):
    """The decision on one token.

    REFUSED: the account is over its rate. PARTLY_REFUSED: it is over the share that
    this coordinator may grant; the other one may have tokens. UNABLE: the instance may
    not grant tokens of this account.
    """

    GRANTED = 0
    REFUSED = 1
    PARTLY_REFUSED = 2
    UNABLE = 3


class TakeToken(msgspec.Struct, frozen=True, array_like=True, tag="take_token"):
    """Asks a rate coordinator for one token.

    :param wait_s: how long the operation may wait, in seconds.
    :param version: the generation of the requester's configuration.
    """

    account: AccountId
    wait_s: float
    version: Generation


class TokenReply(msgspec.Struct, frozen=True, array_like=True, tag="token_reply"):
    """The reply of a rate coordinator.

    :param wait_s: if granted, seconds until the operation may start; otherwise seconds
        until a retry makes sense.
    """

    verdict: Verdict
    wait_s: float = 0.0


class RenewLease(msgspec.Struct, frozen=True, array_like=True, tag="renew_lease"):
    """Asks another coordinator of accounts to grant nothing for a while.

    :param holder: the first coordinator.
    :param is_leaving: whether the holder gives its leases back and leaves.
    :param n_known: the number of instances known to the holder.
    :param missing: the instances that it misses, if it knows more than the receiver.
    """

    holder: InstanceId
    accounts: tuple[AccountId, ...]
    is_leaving: bool = False
    n_known: int = 0
    missing: tuple[MissingMember, ...] = ()


class LeaseReply(msgspec.Struct, frozen=True, array_like=True, tag="lease_reply"):
    """The accounts for which a lease was granted; see :class:`RenewLease`."""

    accounts: tuple[AccountId, ...]
    n_known: int = 0
    missing: tuple[MissingMember, ...] = ()


RATE_CODEC_TYPES = TakeToken | TokenReply | RenewLease | LeaseReply
