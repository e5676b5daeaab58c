"""Run one seeded soak test and report violations of the guarantees."""

from __future__ import annotations

__all__ = ["SoakReport", "SoakSettings", "run_soak"]

import random
from dataclasses import dataclass
from pathlib import Path

import trio

from ..kernel.ids import AccountId
from ..proxy.routes import Consistency
from .account_history import AccountHistory
from .accounts import CLIENT_ACCOUNTS, PROBE_ACCOUNT, AccountBook
from .clients import SoakClient
from .departures import Departures
from .deployment import SoakDeployment
from .disturbances import Disturbances
from .faults import FaultSchedule
from .history import HistoryChecker

START_TIMEOUT_S = 30.0
POLL_S = 0.1
# The required time from the end of the last fault until all sessions are served again.
RECOVERY_TIMEOUT_S = 12.0
# Clients use all keys before the first of them is withdrawn.
FIRST_CHANGE_S = 0.5
MIN_CHANGE_INTERVAL_S = 1.5
MAX_CHANGE_INTERVAL_S = 4.0
# For how long faults may go on until a primary is lost, and how long after that: all
# processes are killed within 0.5 s of the loss.
MAX_EXTENSION_S = 40.0
AFTER_LOSS_S = 1.0


@dataclass(frozen=True)
class SoakSettings:
    """Settings of a soak.

    :param seconds: how long faults are injected.
    :param only: names of the faults to choose from; all if empty.
    :param settle_s: how long clients go on after the recovery. The time within which
        instances must apply the last change of the accounts ends in it by default.
    :param awaits_loss: whether faults go on until a primary is lost for good. Faults
        that find the service disturbed do nothing, so how many take effect depends on
        the load of the host.
    """

    n_instances: int = 4
    n_clients: int = 12
    seconds: float = 12.0
    only: tuple[str, ...] = ()
    settle_s: float = 10.0
    awaits_loss: bool = False


@dataclass(frozen=True)
class SoakReport:
    """Result of one soak.

    :param broken: the violations found.
    :param injected: the injected faults with their times since the start, in seconds.
    :param n_promotions: promotion calls, those that were left unanswered included.
    :param n_unknown: sessions that broke, so that their last outcome is unknown.
    :param recovery_s: seconds from the end of the last fault until each instance served
        each consistency level.
    :param n_checked_keys: refusals of withdrawn keys at a time when no instance may
        accept them any more. With none, the withdrawal of keys was not checked.
    """

    seed: int
    broken: tuple[str, ...]
    injected: tuple[str, ...]
    n_succeeded: int
    n_refused: int
    n_unknown: int
    n_promotions: int
    recovery_s: float
    n_checked_keys: int


class _Soak:
    def __init__(self, seed: int, settings: SoakSettings, folder: Path) -> None:
        self.seed = seed
        self.settings = settings
        accounts = AccountBook(seed)
        self.deployment = SoakDeployment(folder, settings.n_instances, accounts)
        self.checker = HistoryChecker(self.deployment.standin.replicas)
        self.accounts = AccountHistory(accounts, Disturbances())
        self.departures = Departures(self.accounts.disturbances)
        self.schedule = FaultSchedule(self.deployment, seed, settings.only)
        self.recovery_s = 0.0

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            try:
                await self.deployment.start(nursery)
                with trio.fail_after(START_TIMEOUT_S):
                    await self._wait_until_served("start")
                nursery.start_soon(self.accounts.disturbances.watch, self.deployment)
                nursery.start_soon(self.departures.watch, self.deployment)
                for number in range(self.settings.n_clients):
                    nursery.start_soon(self._make_client(number).run)
                self.deployment.faults_begun_at = trio.current_time()
                async with trio.open_nursery() as faults:
                    faults.start_soon(self._change_accounts)
                    faults.start_soon(self.schedule.run, faults)
                    await trio.sleep(self.settings.seconds)
                    if self.settings.awaits_loss:
                        await self._await_loss()
                    faults.cancel_scope.cancel()
                self.deployment.heal()
                await self._recover()
                await trio.sleep(self.settings.settle_s)
            finally:
                nursery.cancel_scope.cancel()
                self.deployment.close()

    async def _await_loss(self) -> None:
        """Wait until a primary has been lost for good, unless one was lost before."""
        if self.deployment.lost_databases:
            return
        with trio.move_on_after(MAX_EXTENSION_S):
            while not self.deployment.lost_databases:
                await trio.sleep(POLL_S)
            await trio.sleep(AFTER_LOSS_S)

    async def _change_accounts(self) -> None:
        """Change keys and limits by new versions until cancelled."""
        rng = random.Random(f"{self.seed} changes")
        await trio.sleep(FIRST_CHANGE_S)
        while True:
            text = self.accounts.book.change()
            self.deployment.publish()
            self.deployment.record(text)
            interval_s = rng.uniform(MIN_CHANGE_INTERVAL_S, MAX_CHANGE_INTERVAL_S)
            await trio.sleep(interval_s)

    def _make_client(self, number: int) -> SoakClient:
        name = f"c{number}"
        account = AccountId(CLIENT_ACCOUNTS[number % len(CLIENT_ACCOUNTS)])
        rng = random.Random(f"{self.seed} {name}")
        ports = [instance.clients.port for instance in self.deployment.instances]
        return SoakClient(name, self.checker, ports, rng, account, self.accounts)

    async def _recover(self) -> None:
        """Wait until sessions are served again; record a violation if that is late."""
        started_at = trio.current_time()
        with trio.move_on_after(RECOVERY_TIMEOUT_S) as scope:
            await self._wait_until_served("end")
        self.recovery_s = trio.current_time() - started_at
        if scope.cancelled_caught:
            self.checker.violations.append(
                f"RECOVER: not served {RECOVERY_TIMEOUT_S:.0f} s after the last fault"
            )

    async def _wait_until_served(self, when: str) -> None:
        """Return once each instance has served a write at each consistency level."""
        for index, instance in enumerate(self.deployment.instances):
            for kind in Consistency:
                rng = random.Random(index)
                ports = [instance.clients.port]
                name = f"{when}{index}{kind.value}"
                client = SoakClient(
                    name, self.checker, ports, rng, PROBE_ACCOUNT, self.accounts
                )
                while not await client.try_write(kind):
                    await trio.sleep(POLL_S)


def run_soak(seed: int, settings: SoakSettings, folder: Path) -> SoakReport:
    """Run one soak.

    :param folder: an empty folder, in which settings and logs remain.
    """
    soak = _Soak(seed, settings, folder)
    trio.run(soak.run)
    checker = soak.checker
    return SoakReport(
        seed=seed,
        broken=(
            *checker.find_violations(),
            *soak.accounts.find_violations(
                soak.deployment.standin.replicas.runs, checker.sent
            ),
            *soak.departures.find_violations(
                soak.deployment.standin.replicas.runs, checker.sent
            ),
            *soak.deployment.unexpected_exits,
            *soak.deployment.find_logged_errors(),
        ),
        injected=tuple(soak.deployment.injected),
        n_succeeded=checker.n_succeeded,
        n_refused=checker.n_refused,
        n_unknown=checker.n_unknown,
        n_promotions=soak.deployment.standin.replicas.n_promotion_calls,
        recovery_s=soak.recovery_s,
        n_checked_keys=soak.accounts.count_checked_keys(),
    )
