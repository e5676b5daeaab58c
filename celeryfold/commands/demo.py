"""The command ``demo``: a deployment under load whose primary is cut off."""

from __future__ import annotations

__all__ = ["run"]

import random

import click
import msgspec
import trio

from ..bench.callers import Caller, HttpEndpoint
from ..bench.deployments import load_deployment
from ..bench.history import History, Verdict
from ..bench.loopback import LoopbackDeployment
from ..kernel.ids import GroupId
from ..kernel.logs import configure_logging

N_INSTANCES = 6
N_CALLERS = 12
PAUSE_BETWEEN_REQUESTS_S = 0.02
CUT_AFTER_SHARE = 0.3
HEAL_AFTER_SHARE = 0.75
CUT_GROUP = GroupId("permits-1")
ACCEPTED_AGES_S = (1.0, 5.0, 10.0)


class _DemoRun:
    def __init__(
        self, deployment: LoopbackDeployment, seconds: float, seed: int
    ) -> None:
        self.deployment = deployment
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.history = History()
        self.cut_at = 0.0
        self.listeners = [HttpEndpoint(s.caller.address) for s in deployment.settings]
        self.catalog = deployment.example.catalog
        self.service = self.catalog.services[deployment.example.workload.service]

    def find_group(self, owner: str) -> GroupId:
        return self.catalog.find_group(self.service, owner).name

    def is_primary(self, slot: str) -> bool:
        group = next(g for s, g in self.catalog.group_of_slot.items() if s == slot)
        return self.deployment.find_record(group).record.primary == slot

    async def run_caller(self, number: int, ends_at: float) -> None:
        rng = random.Random(self.rng.random())
        caller = Caller(
            f"picker{number}",
            self.listeners,
            self.deployment.example.workload,
            self.history,
            rng,
            self.find_group,
            self.is_primary,
        )
        owners = [f"permit-{number}-{i}" for i in range(3)]
        while trio.current_time() < ends_at:
            owner = rng.choice(owners)
            if rng.random() < 0.25:
                await caller.write(owner)
            other = f"permit-{rng.randrange(N_CALLERS)}-{rng.randrange(3)}"
            await caller.read(owner, rng.choice(ACCEPTED_AGES_S))
            await caller.read(other, rng.choice(ACCEPTED_AGES_S))
            await trio.sleep(PAUSE_BETWEEN_REQUESTS_S)

    async def cut_primary(self) -> None:
        await trio.sleep(self.seconds * CUT_AFTER_SHARE)
        primary = self.deployment.find_record(CUT_GROUP).record.primary
        _print_status(f"cutting off {primary}, primary of {CUT_GROUP}")
        self.cut_at = trio.current_time()
        self.deployment.slots[primary].faults.cut = True
        await trio.sleep(self.seconds * (HEAL_AFTER_SHARE - CUT_AFTER_SHARE))
        _print_status(f"{primary} can be reached again")
        self.deployment.slots[primary].faults.cut = False

    async def show_progress(self) -> None:
        while True:
            await trio.sleep(2.0)
            n_writes = len(self.history.writes)
            n_reads = len(self.history.reads)
            _print_status(f"{n_writes} writes, {n_reads} reads so far")

    async def run(self) -> Verdict:
        ends_at = trio.current_time() + self.seconds
        async with trio.open_nursery() as side:
            side.start_soon(self.show_progress)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.cut_primary)
                for number in range(N_CALLERS):
                    nursery.start_soon(self.run_caller, number, ends_at)
            side.cancel_scope.cancel()
        gap_s = self.history.find_service_gap_s(CUT_GROUP, self.cut_at)
        return self.history.make_verdict(self.deployment.count_markers(), [gap_s])


def _print_status(text: str) -> None:
    click.echo(text, err=True)


async def _run(seconds: float, seed: int) -> Verdict:
    deployment = LoopbackDeployment(load_deployment("cockle"), N_INSTANCES)
    async with trio.open_nursery() as nursery:
        _print_status(
            f"starting {N_INSTANCES} instances and their upstreams on loopback"
        )
        await deployment.start(nursery)
        _print_status("every group has a primary; callers start")
        verdict = await _DemoRun(deployment, seconds, seed).run()
        await deployment.close()
        nursery.cancel_scope.cancel()
    return verdict


def run(as_json: bool, seconds: float, seed: int) -> int:
    """Run the demo and print its verdict.

    :param seconds: how long the clients send requests.
    :returns: the exit code: 0 if all consistency guarantees held, else 1.
    """
    configure_logging("ERROR", "demo")
    verdict = trio.run(_run, seconds, seed)
    _print_table(verdict)
    if as_json:
        click.echo(msgspec.json.encode(verdict).decode())
    return 0 if verdict.is_good else 1


def _print_table(verdict: Verdict) -> None:
    rows = [
        ("requests", verdict.n_requests),
        ("acknowledged writes", verdict.n_acknowledged),
        ("lost", verdict.n_lost),
        ("doubled", verdict.n_doubled),
        ("stale reads", verdict.n_stale_reads),
        ("false 'not run'", verdict.n_false_not_run),
        ("outcome unknown", verdict.n_unknown),
        ("replica share of reads", f"{verdict.replica_read_share:.1%}"),
        ("failover gap, seconds", verdict.failover_gap_s),
    ]
    _print_status("")
    for name, value in rows:
        _print_status(f"  {name:<24}{value}")
    _print_status(f"\nall guarantees held: {'yes' if verdict.is_good else 'NO'}")
