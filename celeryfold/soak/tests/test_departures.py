"""The check of leaving replicas finds late statements and reports no allowed ones."""

from __future__ import annotations

import pytest

from celeryfold.kernel.ids import RequestId, UpstreamId
from celeryfold.soak.departures import LEAVE_S, Departures
from celeryfold.soak.disturbances import Disturbances
from celeryfold.soak.history import SentStatement
from celeryfold.standins.database import LOG_START, StatementRun

FIRST, SECOND = UpstreamId("orders-0"), UpstreamId("orders-1")
PORT = 7


def find_violations(
    sent_at: float,
    upstream: UpstreamId = FIRST,
    begun_at: float = 0.0,
    disturbed: tuple[float, float] | None = None,
    interrupted_at: float | None = None,
) -> list[str]:
    """Check one statement beside a replica that has been leaving since second 10."""
    disturbances = Disturbances()
    if disturbed is not None:
        disturbances.record(PORT, *disturbed)
    departures = Departures(disturbances)
    departures.record([FIRST], 10.0)
    if interrupted_at is not None:
        departures.record([], interrupted_at)
        departures.record([FIRST], interrupted_at + 0.1)
    departures.record([], 40.0)
    request = RequestId("r1")
    sent = SentStatement(request, "s", sent_at, port=PORT, begun_at=begun_at)
    run = StatementRun(upstream, request, 1, False, {}, "", LOG_START, sent_at + 0.1)
    return departures.find_violations([run], {request: sent})


def test_a_late_statement_is_found():
    assert find_violations(10.0 + LEAVE_S + 0.1)


@pytest.mark.parametrize(
    "case",
    [
        {"sent_at": 9.0},
        {"sent_at": 10.0 + LEAVE_S - 0.1},
        {"sent_at": 41.0},
        {"sent_at": 20.0, "upstream": SECOND},
        {"sent_at": 20.0, "begun_at": 12.0},
        {"sent_at": 20.0, "disturbed": (14.0, 19.0)},
        {"sent_at": 20.0, "interrupted_at": 16.0},
    ],
    ids=str,
)
def test_an_allowed_statement_is_not_reported(case):
    assert find_violations(**case) == []
