"""The closed list of error kinds and the response to a client for each kind."""

from __future__ import annotations

__all__ = ["ERROR_RESPONSES", "ErrorKind", "ErrorResponse", "Ran"]

from dataclasses import dataclass
from enum import Enum


class Ran(Enum):
    """Whether a failed request had an effect; sent to clients as ``ran``."""

    NO = "no"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """The ways in which a request can fail; sent to clients as ``error``."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    NOT_FOUND = "not_found"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_TRANSACTION = "unknown_transaction"
    INVALID_TOKEN = "invalid_token"
    KEY_REUSED = "key_reused"
    KEY_CANCELLED = "key_cancelled"
    STATEMENT_FAILED = "statement_failed"
    TRANSACTION_LOST = "transaction_lost"
    OVERLOADED = "overloaded"
    NOT_RUN = "not_run"
    NO_PRIMARY = "no_primary"
    TOO_STALE = "too_stale"
    NOT_CAUGHT_UP = "not_caught_up"
    SHUTTING_DOWN = "shutting_down"
    OUTCOME_UNKNOWN = "outcome_unknown"
    READ_ONLY = "read_only"
    WRONG_INSTANCE = "wrong_instance"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    UNKNOWN_STATEMENT = "unknown_statement"
    TIMED_OUT = "timed_out"
    NOT_AUTHENTICATED = "not_authenticated"
    RATE_EXCEEDED = "rate_exceeded"
    CONFLICT = "conflict"
    STORE_UNAVAILABLE = "store_unavailable"
    INTERNAL = "internal"


@dataclass(frozen=True)
class ErrorResponse:
    """The response to a client for one error kind.

    :param status: HTTP status code.
    :param ran: whether the request had an effect.
    :param retry_after_s: seconds until the client should retry; None if a retry
        cannot succeed.
    """

    status: int
    ran: Ran
    retry_after_s: float | None = None


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, Ran.NO),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, Ran.NO),
    ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(431, Ran.NO),
    ErrorKind.NOT_FOUND: ErrorResponse(404, Ran.NO),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, Ran.NO),
    ErrorKind.UNKNOWN_TRANSACTION: ErrorResponse(404, Ran.NO),
    ErrorKind.INVALID_TOKEN: ErrorResponse(400, Ran.NO),
    ErrorKind.KEY_REUSED: ErrorResponse(422, Ran.NO),
    ErrorKind.KEY_CANCELLED: ErrorResponse(409, Ran.NO),
    ErrorKind.STATEMENT_FAILED: ErrorResponse(422, Ran.NO),
    ErrorKind.TRANSACTION_LOST: ErrorResponse(409, Ran.NO, 0.0),
    ErrorKind.OVERLOADED: ErrorResponse(503, Ran.NO, 0.5),
    ErrorKind.NOT_RUN: ErrorResponse(503, Ran.NO, 0.2),
    ErrorKind.NO_PRIMARY: ErrorResponse(503, Ran.NO, 1.0),
    ErrorKind.TOO_STALE: ErrorResponse(503, Ran.NO, 0.5),
    ErrorKind.NOT_CAUGHT_UP: ErrorResponse(503, Ran.NO, 0.2),
    ErrorKind.SHUTTING_DOWN: ErrorResponse(503, Ran.NO, 0.1),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(504, Ran.UNKNOWN, 0.5),
    ErrorKind.READ_ONLY: ErrorResponse(503, Ran.NO, 0.2),
    ErrorKind.WRONG_INSTANCE: ErrorResponse(503, Ran.NO, 0.2),
    ErrorKind.TOO_MANY_CONNECTIONS: ErrorResponse(503, Ran.NO, 0.5),
    ErrorKind.UNKNOWN_STATEMENT: ErrorResponse(404, Ran.NO),
    ErrorKind.TIMED_OUT: ErrorResponse(504, Ran.UNKNOWN, 0.5),
    ErrorKind.NOT_AUTHENTICATED: ErrorResponse(401, Ran.NO),
    ErrorKind.RATE_EXCEEDED: ErrorResponse(429, Ran.NO, 1.0),
    ErrorKind.CONFLICT: ErrorResponse(409, Ran.NO),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, Ran.UNKNOWN, 1.0),
    ErrorKind.INTERNAL: ErrorResponse(500, Ran.UNKNOWN, 1.0),
}
