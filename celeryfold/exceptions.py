"""Base classes of the errors that celeryfold raises."""

from __future__ import annotations

__all__ = [
    "BadInput",
    "CeleryfoldError",
    "RequestFailure",
    "StoreConflict",
    "StoreUnavailable",
    "Unreadable",
]

from .kernel.errors import ErrorKind


class CeleryfoldError(Exception):
    """Base class of all errors of this package."""


class BadInput(CeleryfoldError):
    """Invalid input from a user; the message names the file, the field and the fix."""


class Unreadable(CeleryfoldError):
    """Data of another program that cannot be decoded."""


class StoreUnavailable(CeleryfoldError):
    """The store gave no valid response; a change may still have taken effect."""


class HistoryLost(CeleryfoldError):
    """The store no longer has the requested changes; list the keys again."""


class StoreConflict(CeleryfoldError):
    """The key was not at the expected revision; nothing was changed."""


class RequestFailure(CeleryfoldError):
    """A request failed with an error that is reported to the client.

    :param kind: the kind of error, which determines the response.
    :param message: one sentence for the client.
    :param retry_after_s: seconds until the client should retry; None for the value of
        the kind.
    """

    def __init__(
        self, kind: ErrorKind, message: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(f"{kind.value}: {message}")
        self.kind = kind
        self.message = message
        self.retry_after_s = retry_after_s
        self.request_id = ""
