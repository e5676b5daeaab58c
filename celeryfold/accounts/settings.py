"""Settings of key revocation."""

from __future__ import annotations

__all__ = ["KeyRevocation"]

import msgspec


class KeyRevocation(msgspec.Struct, frozen=True):
    """What to do with API keys while the configuration may be out of date.

    :param timeout_s: age of the last contact with the store, direct or through peers,
        from which the configuration counts as unconfirmed, in seconds.
    :param is_strict: whether requests that need a key are refused then.
    """

    timeout_s: float
    is_strict: bool = False
