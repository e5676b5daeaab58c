"""The fence of a failover attempt, against databases without instances beside it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from celeryfold.kernel.ids import Position, ServiceId, Term, UpstreamId
from celeryfold.kernel.metrics import Metrics
from celeryfold.proxy.ack_set import AckSet
from celeryfold.proxy.control_book import REGISTRATION_S, ControlConnections
from celeryfold.proxy.final_positions import FinalPositions
from celeryfold.proxy.members import Member
from celeryfold.proxy.positions import LogPosition
from celeryfold.proxy.promotion_fence import PromotionFence
from celeryfold.proxy.samples import Sample, SampleHistory
from celeryfold.proxy.statements import Request, Resume
from celeryfold.proxy.upstream import UpstreamRole
from celeryfold.standins.replicas import ReplicaSet

from .test_failover import FIRST, SECOND, THIRD
from .test_late_store_writes import run_on_mock_clock

JOINED = UpstreamId("orders-9")
SERVICE = ServiceId("orders")


class FencedService:
    """A replica set whose primary is lost, and the fence of an attempt."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.replicas = ReplicaSet(SERVICE)
        self.replicas.start(nursery)
        self.listed = self.replicas.list_upstreams()
        self.ack_set = AckSet()
        samples = SampleHistory(trio.current_time)
        self.controls = ControlConnections(
            SERVICE, self.replicas, trio.current_time, Metrics(), lambda: 1
        )
        self.fence = PromotionFence(
            SERVICE,
            self.ack_set,
            self.controls,
            samples,
            trio.current_time,
            Metrics(),
            self.refresh,
            self.read_list,
            self.suspend_writes,
            lambda: 1,
            FinalPositions(),
            frozenset,
        )
        self.newest = Sample(FIRST, LogPosition(Term(1), Position(0)), 0.0)

    def refresh(self) -> None:
        self.ack_set.update(self.listed, trio.current_time())
        self.controls.refresh(self.listed)

    async def read_list(self) -> None:
        self.listed = self.replicas.list_upstreams()

    async def suspend_writes(self, *_: object) -> bool:
        await trio.lowlevel.checkpoint()
        return True

    async def begin(self) -> None:
        """Take the primary away and pause the replicas, known from before."""
        self.refresh()
        await self.controls.read_statuses()
        await trio.sleep(REGISTRATION_S)
        self.replicas.crash(FIRST)
        replicas = self.controls.list_except(FIRST)
        statuses = await self.controls.read_statuses(replicas)
        self.fence.begin(self.newest, statuses)
        await self.fence.pause(replicas, statuses)

    async def confirm(self, can_take_effect: bool) -> UpstreamId | None:
        """Confirm the choice of the third database; return the choice then."""
        return get_id(await self.fence.confirm(Member(THIRD, 1), can_take_effect))

    async def resume(self, upstream_id: UpstreamId) -> None:
        """Let a replica receive again, unseen by the guardian."""
        upstream = self.replicas.databases[upstream_id].upstream
        connection = await self.replicas.open_connection(upstream, "other")
        await connection.send([Request(Resume())])
        await connection.receive()


def run_fenced(scenario: Callable[[FencedService], Awaitable[None]]) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            service = FencedService(nursery)
            await service.begin()
            await scenario(service)
            nursery.cancel_scope.cancel()

    run_on_mock_clock(run)


def get_id(member: Member | None) -> UpstreamId | None:
    return member.upstream_id if member is not None else None


def is_paused(service: FencedService, upstream_id: UpstreamId) -> bool:
    return service.replicas.databases[upstream_id].paused_term is not None


# Guards against a request for the promotion of a member that another one has overtaken
# after an unseen RESUME.
def test_members_are_paused_again_before_each_request():
    async def scenario(service: FencedService) -> None:
        assert get_id(service.fence.choose()) == THIRD
        service.fence.record_request(Member(THIRD, 1))
        service.replicas.restart(FIRST)
        await service.resume(SECOND)
        await service.replicas.commit(service.replicas.databases[FIRST], ())
        await trio.sleep(0.1)
        assert await service.confirm(False) == SECOND
        assert is_paused(service, SECOND)

    run_fenced(scenario)


# Guards against a request without a look at the list of upstreams before it.
def test_a_replica_that_has_joined_is_paused_before_the_request():
    async def scenario(service: FencedService) -> None:
        service.replicas.add_database(JOINED, SECOND)
        await service.confirm(False)
        assert is_paused(service, JOINED)

    run_fenced(scenario)


# Guards against requests for another member after one leads through an earlier request.
def test_a_member_that_leads_through_an_earlier_request_is_the_choice():
    async def scenario(service: FencedService) -> None:
        service.fence.record_request(Member(THIRD, 1))
        second = service.replicas.databases[SECOND]
        second.role, second.term = UpstreamRole.PRIMARY, Term(2)
        service.replicas.databases[FIRST].role = UpstreamRole.REPLICA
        await service.confirm(True)
        await service.fence.extend(can_take_effect=True)
        assert await service.confirm(True) == SECOND

    run_fenced(scenario)


# Guards against the promotion of a member while another one may execute a RESUME late.
def test_a_member_that_may_resume_is_the_choice_or_waited_for():
    async def scenario(service: FencedService) -> None:
        service.replicas.statement_lateness[Resume] = [6.0]
        await service.controls.resume([Member(SECOND, 1)])
        await service.begin()
        assert get_id(service.fence.choose()) == SECOND
        service.replicas.statement_lateness[Resume] = [6.0]
        await service.controls.resume([Member(THIRD, 1)])
        await service.begin()
        assert service.fence.choose() is None
        await trio.sleep(13.0)
        await service.begin()
        assert service.fence.choose() is not None

    run_fenced(scenario)


# Guards against the next holder that does not know what the last one has sent.
def test_the_members_in_the_record_may_resume():
    async def scenario(service: FencedService) -> None:
        members = [Member(SECOND, 1), Member(THIRD, 1)]
        service.controls.assume_all_paused(resuming=members)
        await service.begin()
        assert service.fence.choose() is None

    run_fenced(scenario)


# Guards against a demotion after which no member could be promoted.
def test_a_primary_that_is_back_is_demoted_only_if_another_can_be_promoted():
    async def scenario(service: FencedService) -> None:
        service.fence.record_request(Member(THIRD, 1))
        service.replicas.crash(SECOND)
        service.replicas.crash(THIRD)
        service.replicas.restart(FIRST)
        await service.fence.extend(can_take_effect=True)
        first = service.replicas.databases[FIRST]
        assert first.role is UpstreamRole.PRIMARY
        service.replicas.restart(SECOND)
        await service.fence.extend(can_take_effect=False)
        assert first.role is UpstreamRole.PRIMARY
        await service.fence.extend(can_take_effect=True)
        assert first.role is UpstreamRole.REPLICA
        assert get_id(service.fence.choose()) in (FIRST, SECOND)

    run_fenced(scenario)


# Guards against a change of primary where the former one is back and not written to.
def test_a_primary_that_is_back_is_the_choice_if_all_have_suspended_writes():
    async def scenario(service: FencedService) -> None:
        service.fence.record_request(Member(THIRD, 1))
        await service.fence.suspend_writes(None)
        service.replicas.restart(FIRST)
        assert await service.confirm(True) == FIRST
        assert service.replicas.databases[FIRST].role is UpstreamRole.PRIMARY
        assert await service.confirm(False) != FIRST

    run_fenced(scenario)
