"""Upstreams that refuse the statements by which a session's state is set.

Whatever a set-up statement is answered, no statement of a client runs with the values
of another session, and what is answered about the client's statement is true.
"""

from __future__ import annotations

import pytest
import trio

from celeryfold.kernel.errors import ErrorKind
from celeryfold.kernel.ids import RequestId
from celeryfold.proxy.calls import Answer
from celeryfold.proxy.statements import (
    Access,
    Begin,
    Commit,
    Execute,
    Prepare,
    Read,
    SetValue,
    Statement,
    Write,
)
from celeryfold.proxy.upstream import TransactionState
from celeryfold.standins.deployment import SimulatedDeployment

from .test_sessions import OWN, get_kind, run_scenario

# Errors by which a client is promised that nothing of its attempt is kept.
PROMISES = {
    ErrorKind.OVERLOADED,
    ErrorKind.NOT_RUN,
    ErrorKind.NO_PRIMARY,
    ErrorKind.READ_ONLY,
    ErrorKind.NOT_CAUGHT_UP,
    ErrorKind.TRANSACTION_LOST,
}
SETUP_ERRORS = (
    ErrorKind.STATEMENT_FAILED,
    ErrorKind.OVERLOADED,
    ErrorKind.BAD_REQUEST,
    ErrorKind.UNKNOWN_STATEMENT,
    ErrorKind.TIMED_OUT,
    ErrorKind.OUTCOME_UNKNOWN,
)
STATEMENTS = (Write("a 1"), Execute("s1", "a 1"), Read("a"))
N_STATEMENTS = 12


async def run_with_setup_errors(
    deployment: SimulatedDeployment, errors: list[ErrorKind], statement: Statement
) -> list[Answer]:
    """Run a statement in many sessions whose set-up fails one after the other."""
    answers = []
    for number in range(N_STATEMENTS):
        session = deployment.open_session(number % 3, OWN)
        await deployment.run(session, SetValue("tenant", f"t{number}"))
        await deployment.run(session, Prepare("s1", Access.WRITE, f"q{number}"))
        deployment.replicas.setup_errors = list(errors)
        answers.append(await deployment.run(session, statement))
    return answers


def check_runs(deployment: SimulatedDeployment) -> None:
    """Check that every statement ran with the values of its session."""
    runs = [run for run in deployment.replicas.runs if run.request_id]
    for run in runs:
        assert "tenant" in run.values, f"{run.request_id} ran without its values"


def list_committed_ids(deployment: SimulatedDeployment) -> list[RequestId]:
    """Return the request ids of all writes in the log of the primary."""
    leader = deployment.replicas.find_leader()
    assert leader is not None
    return [request_id for entry in leader.log for _, _, request_id in entry.writes]


@pytest.mark.parametrize("kind", SETUP_ERRORS)
@pytest.mark.parametrize("statement", STATEMENTS, ids=["write", "execute", "read"])
@pytest.mark.parametrize("n_errors", [1, 2])
def test_nothing_runs_on_a_connection_that_could_not_be_set_up(
    kind, statement, n_errors
):
    async def scenario(deployment: SimulatedDeployment) -> None:
        answers = await run_with_setup_errors(deployment, [kind] * n_errors, statement)
        check_runs(deployment)
        if not isinstance(statement, Read):
            n_succeeded = sum(answer.error is None for answer in answers)
            assert len(list_committed_ids(deployment)) == n_succeeded

    run_scenario(scenario)


@pytest.mark.parametrize("kind", SETUP_ERRORS)
def test_a_write_runs_once_and_is_refused_only_if_it_did_not_run(kind):
    async def scenario(deployment: SimulatedDeployment) -> None:
        answers = await run_with_setup_errors(deployment, [kind] * 9, Write("a 1"))
        committed = list_committed_ids(deployment)
        assert len(committed) == len(set(committed))
        assert len(committed) == sum(answer.error is None for answer in answers)
        assert {get_kind(answer) for answer in answers} <= {None, *PROMISES}

    run_scenario(scenario)


@pytest.mark.parametrize("kind", SETUP_ERRORS)
def test_a_transaction_ends_truthfully_if_a_set_up_inside_it_fails(kind):
    async def scenario(deployment: SimulatedDeployment) -> None:
        session = deployment.open_session(0, OWN)
        await deployment.run(session, Begin())
        first = await deployment.run(session, Write("a 1"))
        assert first.error is None
        await deployment.run(session, Prepare("s1", Access.WRITE, "q"))
        deployment.replicas.setup_errors = [kind]
        second = await deployment.run(session, Execute("s1", "b 1"))
        assert get_kind(second) is ErrorKind.TRANSACTION_LOST
        assert session.state is TransactionState.FAILED
        ended = await deployment.run(session, Commit())
        assert get_kind(ended) is ErrorKind.TRANSACTION_LOST
        await trio.sleep(0.1)
        assert list_committed_ids(deployment) == []

    run_scenario(scenario)
