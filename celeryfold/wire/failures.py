"""Turn request failures into HTTP responses by the table of error kinds."""

from __future__ import annotations

__all__ = ["FailureBody", "make_failure_body", "make_failure_response"]

import msgspec

from ..exceptions import RequestFailure
from ..kernel.errors import ERROR_RESPONSES, Ran
from .messages import HttpResponse


class FailureBody(msgspec.Struct):
    """Hold the JSON body of a failed request.

    :param ran: ``no`` when it truly had no effect, else ``unknown``.
    """

    error: str
    message: str
    ran: Ran
    retry_after_ms: int | None = None
    request_id: str = ""


def make_failure_body(failure: RequestFailure) -> FailureBody:
    """Return the body that tells a caller of a failure."""
    answer = ERROR_RESPONSES[failure.kind]
    retry_after_s = failure.retry_after_s
    if retry_after_s is None:
        retry_after_s = answer.retry_after_s
    retry_after_ms = None
    if retry_after_s is not None:
        retry_after_ms = int(retry_after_s * 1000)
    return FailureBody(
        failure.kind.value,
        failure.message,
        answer.ran,
        retry_after_ms,
        failure.request_id,
    )


def make_failure_response(failure: RequestFailure) -> HttpResponse:
    """Return the response for a failure."""
    body = make_failure_body(failure)
    headers = []
    if body.retry_after_ms is not None:
        seconds = max(1, round(body.retry_after_ms / 1000))
        headers.append(("Retry-After", str(seconds)))
    status = ERROR_RESPONSES[failure.kind].status
    return HttpResponse(status, msgspec.json.encode(body), headers)
