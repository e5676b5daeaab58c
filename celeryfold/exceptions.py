"""The root of every error that celeryfold raises on purpose."""

from __future__ import annotations

__all__ = ["BadInput", "CeleryfoldError", "RequestFailure"]

from .kernel.errors import ErrorKind


class CeleryfoldError(Exception):
    """Root of all errors of this package."""


class BadInput(CeleryfoldError):
    """Report input that a person has to mend; its text names file, field and mend."""


class RequestFailure(CeleryfoldError):
    """End a request with one of the closed list of error kinds.

    :param kind: what went wrong.
    :param message: one sentence for the caller.
    :param retry_after_s: seconds until a retry is worth while; the kind's own
        value where it is None.
    """

    def __init__(
        self, kind: ErrorKind, message: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(f"{kind.value}: {message}")
        self.kind = kind
        self.message = message
        self.retry_after_s = retry_after_s
        self.request_id = ""
