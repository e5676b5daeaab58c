"""Guarantees in directed scenarios, each with and without the mechanism behind it.

A test named after a guarantee checks it in a scenario that puts it at risk. The test
after it disables the mechanism and checks that the same scenario then violates the
guarantee, so that the scenario is known to detect the fault.
"""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, replace

import pytest
import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from celeryfold.bench.deployments import ENTRIES
from celeryfold.bench.history import History, Verdict
from celeryfold.bench.simulated_clients import (
    LoadSettings,
    SimulatedClients,
    make_small_simulation,
)
from celeryfold.bench.simulation import LocalEndpoint, Simulation, run_simulation
from celeryfold.conftest import count_examples
from celeryfold.drivers.listing import Listing
from celeryfold.entry.requests import Mode, StatementRequest, StatementResponse
from celeryfold.groups.acknowledgement import AcknowledgementTracker
from celeryfold.groups.freshness import SampleBuffer
from celeryfold.home import batches, reads, writes
from celeryfold.kernel.errors import ErrorKind
from celeryfold.kernel.ids import GroupId, InstanceId, SlotId

pytestmark = pytest.mark.proof

GROUP = GroupId("g1")

SERVICE = ENTRIES.service
LEAVE_TIMEOUT_S = 3.0
REQUEST_START_TIMEOUT_S = 1.0


def make_write(marker: str, owner: str, key: str) -> StatementRequest:
    """Return a write that adds a marked row."""
    return StatementRequest(
        ENTRIES.insert,
        (marker, owner, "2026-12-04"),
        key=owner,
        mode=Mode.WRITE,
        idempotency_key=key,
    )


async def roam_with_lag(simulation: Simulation) -> Verdict:
    """Write and read through random instances while replicas lag by 1 s."""
    for slot in simulation.slots.values():
        slot.lag_s = 1.0
    clients = SimulatedClients(simulation)
    caller = clients.make_caller("c", random.Random(1))
    for group in ("g1", "g2"):
        owner = clients.find_owner(group)
        for _ in range(8):
            await caller.read(owner, accepted_age_s=60.0)
        for _ in range(8):
            await caller.write(owner)
            await caller.read(owner, accepted_age_s=60.0)
    return clients.make_verdict()


def test_own_writes_are_read_after_roaming():
    verdict = run_simulation(make_small_simulation(), roam_with_lag)
    assert verdict.is_good
    assert verdict.n_failed_reads == 0


def test_own_writes_need_the_session(monkeypatch):
    monkeypatch.setattr(reads, "includes", lambda answer, term, position: True)
    assert run_simulation(make_small_simulation(), roam_with_lag).n_stale_reads > 0


async def read_with_small_age(simulation: Simulation) -> Verdict:
    """Write with one caller, read with another whose accepted age is below the lag."""
    for slot in simulation.slots.values():
        slot.lag_s = 2.0
    clients = SimulatedClients(simulation)
    writer = clients.make_caller("w", random.Random(1))
    reader = clients.make_caller("r", random.Random(2))
    owner = clients.find_owner("g1")
    for _ in range(10):
        await writer.write(owner)
        await trio.sleep(0.3)
        await reader.read(owner, accepted_age_s=0.2)
    return clients.make_verdict()


def test_reads_are_fresh_under_lag():
    verdict = run_simulation(make_small_simulation(), read_with_small_age)
    assert verdict.is_good
    assert verdict.n_failed_reads == 0


def test_freshness_needs_samples(monkeypatch):
    monkeypatch.setattr(SampleBuffer, "proves_fresh", lambda *_: True)
    assert (
        run_simulation(make_small_simulation(), read_with_small_age).n_stale_reads > 0
    )


async def split_regions(simulation: Simulation) -> Verdict:
    """Cut the regions apart, so that g2 gets a new primary while the old one runs on.

    Callers write through instances on both sides. The old primary does not receive the
    order that replaces it and still runs writes, none of which may be acknowledged.
    """
    clients = SimulatedClients(simulation)
    remote = clients.make_caller("far", random.Random(1))
    remote_endpoint = next(
        endpoint for endpoint in simulation.make_endpoints() if endpoint.name == "i4"
    )
    remote.use_endpoints([remote_endpoint])
    local = clients.make_caller("near", random.Random(2))
    local.use_endpoints(
        [endpoint for endpoint in simulation.make_endpoints() if endpoint.name != "i4"]
    )
    owner = clients.find_owner("g2")

    async def write_repeatedly(caller, n_writes: int) -> None:
        for _ in range(n_writes):
            await caller.write(owner)

    async with trio.open_nursery() as nursery:
        await trio.sleep(1.0)
        simulation.network.cut_regions()
        nursery.start_soon(write_repeatedly, remote, 3)
        nursery.start_soon(write_repeatedly, local, 5)
        await trio.sleep(15.0)
        simulation.network.heal()
    await clients.settle()
    return clients.make_verdict()


def test_a_replaced_primary_acknowledges_nothing():
    verdict = run_simulation(make_small_simulation(), split_regions)
    assert verdict.is_good, verdict
    assert verdict.n_acknowledged >= 5


def test_acknowledgement_needs_the_confirming_slots(monkeypatch):
    async def wait(self, term, position, deadline) -> bool:
        return True

    monkeypatch.setattr(AcknowledgementTracker, "wait", wait)
    assert run_simulation(make_small_simulation(), split_regions).n_lost > 0


async def lose_answers(simulation: Simulation) -> Verdict:
    """Write while slots commit statements and drop the answers."""
    clients = SimulatedClients(simulation, LoadSettings(seconds=6.0, write_share=0.8))

    async def lose() -> None:
        while True:
            await trio.sleep(0.4)
            for slot in simulation.slots.values():
                slot.faults.drop_answers = 2

    async with trio.open_nursery() as nursery:
        nursery.start_soon(lose)
        await clients.run()
        nursery.cancel_scope.cancel()
    for slot in simulation.slots.values():
        slot.faults.drop_answers = 0
    await clients.settle()
    return clients.make_verdict()


def test_a_key_runs_at_most_once():
    verdict = run_simulation(make_small_simulation(), lose_answers)
    assert verdict.is_good, verdict


def test_at_most_once_needs_the_outcome_record(monkeypatch):
    numbers = itertools.count()
    insert = writes.insert_outcome

    def insert_elsewhere(key, digest):
        return insert(f"{key}/{next(numbers)}", digest)

    monkeypatch.setattr(writes, "insert_outcome", insert_elsewhere)
    assert run_simulation(make_small_simulation(), lose_answers).n_doubled > 0


async def write_without_keys(simulation: Simulation) -> Verdict:
    """Send writes without an idempotency key once each, while answers are dropped."""
    clients = SimulatedClients(simulation)
    history = History()
    clients.history = history
    owner = clients.find_owner("g1")
    endpoints = simulation.make_endpoints()
    primary = simulation.slots[simulation.find_record(GROUP).primary]
    not_run: list[str] = []
    for number in range(30):
        primary.faults.drop_answers = number % 3 == 0
        marker = f"m{number}"
        request = make_write(marker, owner, "")
        answer = await endpoints[number % len(endpoints)].send(SERVICE, request)
        if not isinstance(answer, StatementResponse) and answer is not None:
            if answer.ran.value == "no":
                not_run.append(marker)
        await trio.sleep(0.2)
    primary.faults.drop_answers = 0
    await clients.settle()
    final_counts = simulation.count_markers(ENTRIES.count_by_marker)
    verdict = clients.make_verdict()
    verdict.n_false_not_run = sum(marker in final_counts for marker in not_run)
    verdict.n_doubled = sum(count > 1 for count in final_counts.values())
    return verdict


def test_writes_reported_as_not_run_did_not_run():
    verdict = run_simulation(make_small_simulation(), write_without_keys)
    assert verdict.n_false_not_run == 0
    assert verdict.n_doubled == 0


def test_not_run_needs_the_unknown_outcome(monkeypatch):
    def describe(may_have_run: bool, text: str):
        return batches.RequestFailure(ErrorKind.NOT_RUN, text)

    monkeypatch.setattr(batches, "_make_failure", describe)
    verdict = run_simulation(make_small_simulation(), write_without_keys)
    assert verdict.n_false_not_run + verdict.n_doubled > 0


async def reuse_key(simulation: Simulation) -> list[object]:
    """Use one key for two different statements, through two instances."""
    clients = SimulatedClients(simulation)
    owner = clients.find_owner("g1")
    first, second = simulation.make_endpoints()[:2]
    answers: list[object] = [await first.send(SERVICE, make_write("m1", owner, "k"))]
    answers.append(await second.send(SERVICE, make_write("m1", owner, "k")))
    answers.append(await second.send(SERVICE, make_write("m2", owner, "k")))
    return answers


def test_a_key_is_replayed_and_not_reused():
    first, replayed, refused = run_simulation(make_small_simulation(), reuse_key)
    assert isinstance(first, StatementResponse)
    assert isinstance(replayed, StatementResponse)
    assert replayed.replayed
    assert refused.error == ErrorKind.KEY_REUSED.value


@dataclass(frozen=True)
class LeavingScenario:
    """How a slot leaves.

    :param list_lag_s: age in seconds of the instance list that instances read.
    :param by_operator: whether an operator marks the slot, rather than the list.
    :param store_down: whether the store is unreachable meanwhile.
    """

    slot: SlotId = SlotId("g1-b")
    list_lag_s: float = 0.0
    by_operator: bool = False
    store_down: bool = True


async def announce_leaving(simulation: Simulation, leaving: LeavingScenario) -> None:
    """Announce that a slot leaves; return when instances can read the announcement."""
    if leaving.by_operator:
        await simulation.instances[InstanceId("i1")].set_slot_leaving(
            leaving.slot, True
        )
        return
    listed = simulation.list.read().instances
    simulation.list.set(Listing(listed, (leaving.slot,)))
    await trio.sleep(simulation.list.lag_s)


async def use_leaving_slot(simulation: Simulation, leaving: LeavingScenario) -> int:
    """Let a slot leave under load; return the statements it ran 3 s later or more."""
    clients = SimulatedClients(simulation, LoadSettings(seconds=10.0))
    counts: list[int] = []

    async def leave() -> None:
        await trio.sleep(2.0)
        simulation.store.faults.set_paused(leaving.store_down)
        await announce_leaving(simulation, leaving)
        await trio.sleep(LEAVE_TIMEOUT_S)
        counts.append(simulation.slots[leaving.slot].n_statements)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(leave)
        await clients.run()
    return simulation.slots[leaving.slot].n_statements - counts[0]


def run_leaving(leaving: LeavingScenario) -> int:
    """Simulate a slot that leaves, and return the statements it ran afterwards."""
    simulation_settings = replace(
        make_small_simulation(), list_lag_s=leaving.list_lag_s
    )
    return run_simulation(
        simulation_settings, lambda simulation: use_leaving_slot(simulation, leaving)
    )


leavings = st.builds(
    LeavingScenario,
    st.sampled_from([SlotId(f"g1-{letter}") for letter in "abc"]),
    st.sampled_from([0.0, 1.0, 3.0]),
    st.booleans(),
    st.booleans(),
)


@settings(max_examples=count_examples(12, 100))
@given(leavings)
def test_a_leaving_slot_gets_no_new_work(leaving):
    assert run_leaving(leaving) == 0


def test_leaving_needs_the_list(monkeypatch):
    async def ignore(self, listed) -> None:
        return

    monkeypatch.setattr(
        "celeryfold.fleet.replicated_state.ReplicatedState.apply_listed_leaving", ignore
    )
    assert run_leaving(LeavingScenario()) > 0


async def stop_under_load(
    simulation: Simulation, name: InstanceId, n_callers: int, after_s: float
) -> list[object]:
    """Drain and stop an instance while requests run on it; return their answers.

    The instance is stopped at the first moment after ``after_s`` seconds at which a
    request is in progress on it.
    """
    owner = SimulatedClients(simulation).find_owner("g1")
    entry = simulation.instances[name].entry
    answers: list[object] = []

    async def write_repeatedly(number: int) -> None:
        for count in itertools.count():
            endpoint = LocalEndpoint(simulation, name)
            if name not in simulation.instances:
                return
            request = make_write(f"m{number}-{count}", owner, "")
            answers.append(await endpoint.send(SERVICE, request))

    async with trio.open_nursery() as nursery:
        for number in range(n_callers):
            nursery.start_soon(write_repeatedly, number)
        await trio.sleep(after_s)
        with trio.fail_after(REQUEST_START_TIMEOUT_S):
            while not entry.n_in_progress:
                await trio.sleep(0.001)
        await simulation.stop(name)
    return answers


@settings(max_examples=count_examples(12, 200))
@given(
    st.sampled_from([InstanceId(f"i{n}") for n in range(1, 5)]),
    st.integers(1, 12),
    st.floats(0.05, 0.4),
)
@example(InstanceId("i4"), 11, 0.2675)
def test_a_stopping_instance_finishes_what_runs(name, n_callers, after_s):
    answers = run_simulation(
        make_small_simulation(),
        lambda simulation: stop_under_load(simulation, name, n_callers, after_s),
    )
    assert answers
    assert [item for item in answers if item is None] == []


def test_finishing_needs_the_drain(monkeypatch):
    async def leave_at_once(self, drain_s: float) -> None:
        return

    monkeypatch.setattr("celeryfold.instance.Instance.leave", leave_at_once)
    name = InstanceId("i1")
    answers = run_simulation(
        make_small_simulation(),
        lambda simulation: stop_under_load(simulation, name, 8, 0.2),
    )
    assert None in answers
