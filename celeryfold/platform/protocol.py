"""Encoding and decoding of the texts of the session protocol."""

from __future__ import annotations

__all__ = [
    "NAME_PATTERN",
    "decode_position",
    "decode_query",
    "decode_request_id",
    "decode_state",
    "decode_status",
    "encode_error",
    "encode_request",
    "encode_state",
    "find_error_kind",
]

import re

from ..exceptions import BadInput
from ..kernel.errors import ErrorKind
from ..kernel.ids import Position, RequestId, Term
from ..proxy.positions import LogPosition
from ..proxy.statements import (
    Access,
    Begin,
    Commit,
    Deallocate,
    Demote,
    Execute,
    Pause,
    Prepare,
    Read,
    ReadStatus,
    Request,
    Reset,
    Resume,
    Rollback,
    SetValue,
    Statement,
    Write,
)
from ..proxy.upstream import (
    TransactionState,
    UpstreamError,
    UpstreamRole,
    UpstreamStatus,
)
from .lines import MAX_LINE_BYTES

# A name is one field of a line: a blank in it would shift the fields that follow.
NAME_PATTERN = re.compile(r"[!-~]+")
_CONTROL_CHARACTERS = re.compile("[\x00-\x1f]")
# Numbers of this length fit into the integers of all codecs.
N_COUNT_DIGITS = 15
_STATES = {
    "I": TransactionState.IDLE,
    "T": TransactionState.OPEN,
    "E": TransactionState.FAILED,
}
_STATE_LETTERS = {state: letter for letter, state in _STATES.items()}

_ERROR_KINDS = {
    "BUSY": ErrorKind.OVERLOADED,
    "LAGGING": ErrorKind.NOT_CAUGHT_UP,
    "READONLY": ErrorKind.READ_ONLY,
    # Refers to a database server, not to an instance of celeryfold.
    "WRONGNODE": ErrorKind.WRONG_INSTANCE,
    "TOOMANYCON": ErrorKind.TOO_MANY_CONNECTIONS,
    "FAILED": ErrorKind.STATEMENT_FAILED,
    "NOSTMT": ErrorKind.UNKNOWN_STATEMENT,
    "TIMEOUT": ErrorKind.TIMED_OUT,
    "AUTHFAIL": ErrorKind.NOT_AUTHENTICATED,
    "NODB": ErrorKind.UNKNOWN_SERVICE,
    "TOOBIG": ErrorKind.BODY_TOO_LARGE,
    "MALFORMED": ErrorKind.BAD_REQUEST,
    "ABORTED": ErrorKind.TRANSACTION_LOST,
    "INDOUBT": ErrorKind.OUTCOME_UNKNOWN,
}

# Error kinds without a code of their own map to BUSY or LAGGING if nothing took
# effect, else to INDOUBT.
_ERROR_CODES = {
    **{kind: code for code, kind in _ERROR_KINDS.items()},
    ErrorKind.NOT_RUN: "BUSY",
    ErrorKind.NO_PRIMARY: "BUSY",
    ErrorKind.RATE_EXCEEDED: "BUSY",
    ErrorKind.TOO_STALE: "LAGGING",
    ErrorKind.SHUTTING_DOWN: "BUSY",
    ErrorKind.INTERNAL: "INDOUBT",
}

_ACCESS = {"READ": Access.READ, "WRITE": Access.WRITE}
_ACCESS_KEYWORDS = {access: keyword for keyword, access in _ACCESS.items()}
_ROLES = {"primary": UpstreamRole.PRIMARY, "replica": UpstreamRole.REPLICA}

_TRANSACTION_STATEMENTS: dict[str, Statement] = {
    "BEGIN": Begin(),
    "BEGIN READ": Begin(read_only=True),
    "COMMIT": Commit(),
    "ROLLBACK": Rollback(),
}


def find_error_kind(code: str) -> ErrorKind:
    """Return the kind of an error code; an unknown code means an unknown outcome."""
    return _ERROR_KINDS.get(code, ErrorKind.OUTCOME_UNKNOWN)


def encode_error(error: UpstreamError) -> str:
    """Return the protocol line of an error, cut to the size of a message."""
    code = _ERROR_CODES.get(error.kind, "INDOUBT")
    text = error.text.replace("\r", " ").replace("\n", " ")
    line = f"ERROR {code} {text if text.strip(' ') else '-'}"
    data = line.encode("utf-8", "surrogateescape")
    if len(data) <= MAX_LINE_BYTES:
        return line
    return data[:MAX_LINE_BYTES].decode("utf-8", "surrogateescape")


def encode_state(state: TransactionState) -> str:
    """Return the protocol letter of a transaction state."""
    return _STATE_LETTERS[state]


def decode_state(letter: str) -> TransactionState:
    """Return the transaction state of a protocol letter.

    :raises KeyError: if the letter is unknown.
    """
    return _STATES[letter]


def decode_position(text: str) -> LogPosition | None:
    """Return the position in a text such as ``3.1207``, or None for ``-``.

    :raises ValueError: if the text is malformed.
    """
    if text == "-":
        return None
    term, _, number = text.partition(".")
    return LogPosition(Term(_decode_count(term)), Position(_decode_count(number)))


def _decode_count(text: str) -> int:
    """Return a number that can be passed on to other instances.

    :raises ValueError: if the text is no such number.
    """
    if not text.isascii() or not text.isdigit() or len(text) > N_COUNT_DIGITS:
        raise ValueError(f"'{text[:20]}' is no number of up to {N_COUNT_DIGITS} digits")
    return int(text)


def decode_status(row: str) -> UpstreamStatus:
    """Return the status in a row of role, term, received position, held term and loads.

    :raises ValueError: if a field is missing or malformed.
    :raises KeyError: if the role is unknown.
    """
    role, term, received, held, *_ = row.split(" ")
    position = decode_position(received) or LogPosition(Term(0), Position(0))
    terms = Term(_decode_count(term)), Term(_decode_count(held))
    return UpstreamStatus(_ROLES[role], terms[0], position, terms[1])


def decode_request_id(text: str) -> RequestId:
    """Return the request id of a client's query.

    :raises BadInput: if the text is no id of a client.
    """
    if not text or text == "-":
        raise BadInput("QUERY needs a request id")
    if _CONTROL_CHARACTERS.search(text):
        raise BadInput("the request id contains control characters; remove them")
    return RequestId(text)


def decode_query(text: str) -> Statement:
    """Return the statement in a client's query.

    :raises BadInput: if the text is not a statement that clients may send.
    """
    if _CONTROL_CHARACTERS.search(text):
        raise BadInput("the statement contains control characters; remove them")
    transaction_statement = _TRANSACTION_STATEMENTS.get(text)
    if transaction_statement is not None:
        return transaction_statement
    verb, _, rest = text.partition(" ")
    if verb == "READ" and rest:
        return Read(rest)
    if verb == "WRITE" and " " in rest:
        return Write(rest)
    if verb == "SET":
        name, _, value = rest.partition(" ")
        if name and value:
            return SetValue(name, value)
    if verb == "PREPARE":
        return _decode_prepare(rest)
    if verb == "EXECUTE":
        name, _, arguments = rest.partition(" ")
        if name and arguments:
            return Execute(name, arguments)
    if verb == "DEALLOC" and rest:
        return Deallocate(rest)
    raise BadInput(f"invalid statement '{text[:40]}'; see the protocol")


def _decode_prepare(rest: str) -> Prepare:
    name, _, definition = rest.partition(" ")
    keyword, _, shape = definition.partition(" ")
    if not name or keyword not in _ACCESS or not shape:
        raise BadInput("PREPARE needs a name, READ or WRITE, and a shape")
    return Prepare(name, _ACCESS[keyword], shape)


def encode_request(request: Request) -> str:
    """Return the protocol line of a request to an upstream."""
    text = _encode_statement(request.statement)
    if request.since is not None:
        text = f"SINCE {request.since} {text}"
    return f"QUERY {request.request_id or '-'} {text}"


def _encode_statement(statement: Statement) -> str:
    match statement:
        case Begin(read_only):
            return "BEGIN READ" if read_only else "BEGIN"
        case Commit():
            return "COMMIT"
        case Rollback():
            return "ROLLBACK"
        case Read(arguments):
            return f"READ {arguments}"
        case Write(arguments):
            return f"WRITE {arguments}"
        case SetValue(name, value):
            return f"SET {name} {value}"
        case Prepare(name, access, shape):
            return f"PREPARE {name} {_ACCESS_KEYWORDS[access]} {shape}"
        case Execute(name, arguments):
            return f"EXECUTE {name} {arguments}"
        case Deallocate(name):
            return f"DEALLOC {name}"
        case Reset():
            return "RESET"
        case ReadStatus():
            return "STATUS"
        case Pause(term):
            return f"PAUSE {term}"
        case Resume():
            return "RESUME"
        case Demote(term):
            return f"DEMOTE {term}"
