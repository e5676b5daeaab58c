"""Refusals by load travel from a home to the client, and end attempts that are in vain.

The load pattern is an upstream whose homes have full queues, with a measured service
time, while other upstreams of the service are idle or full as well.
"""

from __future__ import annotations

import re

import msgspec
import pytest
import trio

from celeryfold.accounts import NO_ACCOUNT
from celeryfold.exceptions import RequestFailure
from celeryfold.kernel.errors import ErrorKind
from celeryfold.kernel.ids import AccountId, RequestId, UpstreamId
from celeryfold.proxy.calls import Answer
from celeryfold.proxy.exchanges import ExchangeFailed
from celeryfold.proxy.executors import RetryableFailure, Work
from celeryfold.proxy.home import HomeReply
from celeryfold.proxy.local_executor import LocalExecutor
from celeryfold.proxy.statements import Begin, Read, Request, Write
from celeryfold.standins.deployment import SimulatedDeployment

from .test_homes import run_with_few_connections
from .test_sessions import OWN, get_kind, run_scenario

UPSTREAMS = [UpstreamId(f"orders-{number}") for number in range(3)]
PRIMARY = UPSTREAMS[0]
SERVICE_S = 0.06
# Routes of the deployment permit a wait of 0.2 s: a quarter of their target.
WAIT_S = 0.2


def find_home(deployment: SimulatedDeployment, upstream: UpstreamId) -> LocalExecutor:
    """Return the executor of the only home of an upstream."""
    found = [i.executors.find_local(upstream) for i in deployment.instances]
    [executor] = [executor for executor in found if executor is not None]
    return executor


def find_ingress(deployment: SimulatedDeployment, upstream: UpstreamId) -> int:
    """Return the number of an instance that is not a home of an upstream."""
    executors = [i.executors.find_local(upstream) for i in deployment.instances]
    return executors.index(None)


async def fill(
    deployment: SimulatedDeployment,
    nursery: trio.Nursery,
    upstream: UpstreamId,
    n_waiting: int = 60,
    occupied_s: float = SERVICE_S,
    account: AccountId = NO_ACCOUNT,
) -> None:
    """Occupy all slots of the home of an upstream and fill its queue.

    :param occupied_s: how long those in the queue will occupy their slots, in seconds.
    """
    limiter = find_home(deployment, upstream).limiter
    assert limiter.limit == 3
    for _ in range(100):
        limiter.service_time.record(SERVICE_S)
    while limiter._n_admitted < limiter.limit:
        limiter.acquire_unconditionally()

    async def wait() -> None:
        if await limiter.acquire(0, 100.0, account):
            await trio.sleep(occupied_s)
            limiter.release()

    for _ in range(n_waiting):
        nursery.start_soon(wait)
    await trio.sleep(0.001)
    assert limiter.n_waiting >= n_waiting


def count_attempts(deployment: SimulatedDeployment) -> int:
    return sum(i.metrics.counters["home.served"] for i in deployment.instances)


def find_retry_s(answer: Answer) -> float:
    assert answer.error is not None
    match = re.search(r"; retry after (\d\.\d\d) s$", answer.error.text)
    assert match is not None, answer.error.text
    return float(match[1])


def test_a_write_to_a_full_primary_is_tried_once_and_told_when_to_return():
    """Fails if the write is sent to the same full queue with each of its attempts."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        number = find_ingress(deployment, PRIMARY)
        async with trio.open_nursery() as nursery:
            await fill(deployment, nursery, PRIMARY)
            session = deployment.open_session(number, OWN)
            n_before = count_attempts(deployment)
            started_at = trio.current_time()
            answer = await deployment.run(session, Write("a 1"))
            assert trio.current_time() - started_at < 0.02
            assert get_kind(answer) is ErrorKind.OVERLOADED
            first_s = find_retry_s(answer)
            assert first_s == pytest.approx(60 * SERVICE_S / 3 - WAIT_S, abs=0.02)
            assert count_attempts(deployment) == n_before + 1
            second_s = find_retry_s(await deployment.run(session, Write("a 1")))
            assert trio.current_time() + second_s > started_at + first_s
            with pytest.raises(RequestFailure) as raised:
                await session._forward(RequestId("r"), Write("a 1"))
            assert raised.value.retry_after_s is not None
            assert raised.value.retry_after_s > second_s - 0.02
            nursery.cancel_scope.cancel()

    assert not run_with_few_connections(scenario).replicas.acknowledged


def test_a_read_refused_by_one_upstream_is_served_by_another():
    """Fails if a refusal by load of one upstream ends a read that another can serve."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        full = UPSTREAMS[1]
        number = find_ingress(deployment, full)
        ingress = deployment.instances[number]
        for upstream in UPSTREAMS:
            executor = ingress.executors.find(upstream)
            assert executor is not None
            if upstream != full:
                executor.last_silence_at = trio.current_time() + 1.0
        async with trio.open_nursery() as nursery:
            await fill(deployment, nursery, full)
            session = deployment.open_session(number, OWN)
            started_at = trio.current_time()
            answer = await deployment.run(session, Read("a"))
            assert trio.current_time() - started_at < 0.05
            assert answer.error is None
            assert ingress.metrics.counters["statement.retried.overloaded"] == 1
            nursery.cancel_scope.cancel()

    [read] = run_with_few_connections(scenario).replicas.runs
    assert read.upstream != UPSTREAMS[1]


def test_a_read_refused_by_all_upstreams_is_told_the_earliest_time():
    """Fails if a read goes round the full queues until its attempts are used up."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        async with trio.open_nursery() as nursery:
            for upstream, n_waiting in zip(UPSTREAMS, [90, 35, 60], strict=True):
                await fill(deployment, nursery, upstream, n_waiting)
            session = deployment.open_session(0, OWN)
            started_at = trio.current_time()
            answer = await deployment.run(session, Read("a"))
            assert trio.current_time() - started_at < 0.05
            assert get_kind(answer) is ErrorKind.OVERLOADED
            earliest_s = 35 * SERVICE_S / 3 - WAIT_S
            assert find_retry_s(answer) == pytest.approx(earliest_s, abs=0.02)
            retried = deployment.instances[0].metrics.counters
            assert retried["statement.retried.overloaded"] == len(UPSTREAMS)
            nursery.cancel_scope.cancel()

    assert not run_with_few_connections(scenario).replicas.runs


def test_a_write_waits_if_the_queue_will_soon_be_short_enough():
    """Fails if calls are refused that could be served within their time."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        number = find_ingress(deployment, PRIMARY)
        limiter = find_home(deployment, PRIMARY).limiter
        async with trio.open_nursery() as nursery:
            await fill(deployment, nursery, PRIMARY, 11, SERVICE_S / 2)

            async def release_slots() -> None:
                await trio.sleep(0.015)
                for _ in range(3):
                    limiter.release()

            nursery.start_soon(release_slots)
            n_before = count_attempts(deployment)
            session = deployment.open_session(number, OWN)
            answer = await deployment.run(session, Write("a 1"))
            assert answer.error is None
            assert count_attempts(deployment) == n_before + 2
            nursery.cancel_scope.cancel()

    assert len(run_with_few_connections(scenario).replicas.acknowledged) == 1


def test_the_account_of_the_work_decides_its_place_in_the_queue_of_a_home():
    """Load: one account has filled the queue of a home. Fails if others wait for it."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        number = find_ingress(deployment, PRIMARY)
        executor = deployment.instances[number].executors.find(PRIMARY)
        assert executor is not None
        work = Work((Request(Read("a")),), {}, None, 0, WAIT_S, 0.8)
        async with trio.open_nursery() as nursery:
            large = AccountId("large")
            await fill(deployment, nursery, PRIMARY, account=large)
            find_home(deployment, PRIMARY).limiter.release()
            with pytest.raises(RetryableFailure) as raised:
                await executor.run(msgspec.structs.replace(work, account=large))
            assert raised.value.kind is ErrorKind.OVERLOADED
            small = msgspec.structs.replace(work, account=AccountId("small"))
            [reply] = (await executor.run(small)).replies
            assert reply.error is None
            nursery.cancel_scope.cancel()

    run_with_few_connections(scenario)


def test_statements_that_end_without_a_reply_are_not_measured():
    """Fails if statements that hang at an unresponsive upstream refuse others early."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        executor = find_home(deployment, PRIMARY)
        work = Work((Request(Read("a")),), {}, None, 1, WAIT_S, 0.5)
        for _ in range(5):
            await executor.run(work)
        before_s = executor.limiter.service_time.mean_s
        assert before_s is not None
        assert before_s < 0.02
        deployment.replicas.crash(PRIMARY, is_silent=True)
        with pytest.raises(ExchangeFailed):
            await executor.run(work)
        assert executor.limiter.service_time.mean_s == before_s

    run_with_few_connections(scenario)


def test_statements_of_transactions_are_measured():
    """Fails if a load of long transactions gives the time of their first statement."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        executor = deployment.instances[0].executors.find_local(PRIMARY)
        assert executor is not None
        session = deployment.open_session(0, OWN)
        service_time = executor.limiter.service_time
        n_before = service_time._n_measured
        await deployment.run(session, Begin())
        for _ in range(5):
            assert (await deployment.run(session, Write("a 1"))).error is None
        assert service_time._n_measured >= n_before + 6

    run_scenario(scenario)


def test_the_reply_of_a_home_without_a_retry_time_is_decoded():
    """Fails if instances of the previous version cannot be homes for this one."""
    reply = HomeReply(not_run=ErrorKind.OVERLOADED, text="full", retry_after_s=0.4)
    encoded = msgspec.msgpack.encode(reply)
    assert msgspec.msgpack.decode(encoded, type=HomeReply) == reply
    fields = msgspec.msgpack.decode(encoded)
    shorter = msgspec.msgpack.encode(fields[:-2])
    decoded = msgspec.msgpack.decode(shorter, type=HomeReply)
    assert decoded == HomeReply(not_run=ErrorKind.OVERLOADED, text="full")
