"""Run one batch on a leased connection and say truly what is known of its effect."""

from __future__ import annotations

__all__ = ["run_batch"]

from collections.abc import Sequence

import trio

from ..drivers.slot import (
    BatchResult,
    BatchResultLost,
    NotPrimary,
    Statement,
    StatementRejected,
)
from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from .pool import Lease

ROLLBACK_TIMEOUT_S = 0.3


async def run_batch(
    lease: Lease,
    statements: Sequence[Statement],
    deadline: float,
    *,
    begin: bool = False,
    commit: bool = False,
    writes: bool = True,
) -> BatchResult:
    """Run a batch; the lease is marked broken where the connection is in doubt.

    :param writes: whether the batch may have an effect once committed.
    :raises RequestFailure: ``outcome_unknown`` only where a commit may have happened.
    """
    lease.is_broken = True
    answer: BatchResult | None = None
    try:
        with trio.move_on_at(deadline):
            answer = await lease.connection.execute(
                statements, begin=begin, commit=commit
            )
    except NotPrimary as error:
        lease.is_broken = False
        raise RequestFailure(ErrorKind.NO_PRIMARY, str(error)) from error
    except StatementRejected as error:
        lease.is_broken = False
        raise RequestFailure(ErrorKind.STATEMENT_FAILED, str(error)) from error
    except BatchResultLost as error:
        raise _make_failure(commit and writes, str(error)) from error
    if answer is None:
        raise _make_failure(commit and writes, "no answer before the deadline")
    lease.is_broken = False
    return answer


def _make_failure(may_have_run: bool, text: str) -> RequestFailure:
    kind = ErrorKind.OUTCOME_UNKNOWN if may_have_run else ErrorKind.NOT_RUN
    return RequestFailure(kind, text)
