"""The faults of a soak, in a registry by name."""

from __future__ import annotations

__all__ = ["FAULTS", "FaultSchedule"]

import random
import signal

import msgspec
import trio

from ..kernel.ids import UpstreamId
from ..kernel.registry import Registry
from ..platform.standins import ODD_ENTRIES
from ..standins.database import Database
from .deployment import SoakDeployment
from .fault import MAX_FAULT_S, Fault
from .membership_faults import MEMBERSHIP_FAULTS
from .replacement_faults import REPLACEMENT_FAULTS

# Shorter than most faults last, so that faults overlap.
MIN_INTERVAL_S = 0.1
MAX_INTERVAL_S = 1.2
# Longer than the bound by which instances stop using a leaving database.
MAX_LEAVE_S = 12.0
# Copies of the store are some seconds old.
MAX_COPY_AGE_S = 10.0
# The keys that celeryfold itself writes; others are written again by their writers.
OWN_PREFIX = "celeryfold/"
# Shorter than the time within which a lost primary is replaced.
MAX_KILL_DELAY_S = 0.5
MAX_REPEATS = 3
REPEAT_INTERVAL_S = 0.4


FAULTS: Registry[Fault] = Registry("fault")


class _Kill(Fault):
    async def inject(self) -> None:
        self.deployment.signal(
            self.rng.choice(self.deployment.instances), signal.SIGKILL
        )


class _KillAll(Fault):
    async def inject(self) -> None:
        self.deployment.kill_all()


class _Stop(Fault):
    async def inject(self) -> None:
        await self.deployment.stop(self.rng.choice(self.deployment.instances))


class _Pause(Fault):
    async def inject(self) -> None:
        await self.deployment.pause(
            self.rng.choice(self.deployment.instances), self.choose_duration_s()
        )


class _Reload(Fault):
    async def inject(self) -> None:
        self.deployment.signal(
            self.rng.choice(self.deployment.instances), signal.SIGHUP
        )


class _Publish(Fault):
    async def inject(self) -> None:
        self.deployment.publish()


class _Delay(Fault):
    async def inject(self) -> None:
        forwarder = self.choose_forwarder()
        forwarder.delay_s = self.rng.choice([0.01, 0.1, 0.5])
        await trio.sleep(self.choose_duration_s())
        forwarder.delay_s = 0.0


class _Reset(Fault):
    async def inject(self) -> None:
        self.choose_forwarder().reset_all()


class _CutOneWay(Fault):
    async def inject(self) -> None:
        forwarder = self.choose_forwarder()
        if self.rng.random() < 0.5:
            forwarder.cuts_to_target = True
        else:
            forwarder.cuts_from_target = True
        await trio.sleep(self.choose_duration_s())
        forwarder.heal()


class _Silence(Fault):
    async def inject(self) -> None:
        self.choose_forwarder().silence_all()


class _StoreDown(Fault):
    async def inject(self) -> None:
        self.store.is_down = True
        await trio.sleep(self.choose_duration_s())
        self.store.is_down = False


class _StoreSilent(Fault):
    async def inject(self) -> None:
        self.store.is_silent = True
        await trio.sleep(self.choose_duration_s())
        self.store.is_silent = False


class _StoreAnswersLost(Fault):
    async def inject(self) -> None:
        self.store.n_answers_to_lose += self.rng.randrange(1, 4)


class _StoreCompacts(Fault):
    async def inject(self) -> None:
        self.store.compact()


class _StoreRestored(Fault):
    """Takes the store away and brings it back as of some time before."""

    async def inject(self) -> None:
        copy = self.store.copy()
        await trio.sleep(self.rng.uniform(0.2, MAX_COPY_AGE_S))
        self.store.is_down = True
        await trio.sleep(self.rng.uniform(0.2, MAX_FAULT_S))
        self.store.restore(copy, OWN_PREFIX)
        self.store.is_down = False


class _Crash(Fault):
    async def inject(self) -> None:
        await self.stop_for(self.choose_database())


class _CutReplication(Fault):
    async def inject(self) -> None:
        database = self.replicas.databases[self.choose_database()]
        database.is_replication_cut = True
        await trio.sleep(self.choose_duration_s())
        database.is_replication_cut = False
        self.replicas.ship_log()


class _Lag(Fault):
    async def inject(self) -> None:
        database = self.replicas.databases[self.choose_database()]
        database.lag_s = self.rng.choice([0.005, 0.1, 1.0])


class _Leave(Fault):
    """Marks a database as leaving, as before a release, and later unmarks it."""

    async def inject(self) -> None:
        database = self.replicas.databases[self.choose_database()]
        self._mark(database, is_leaving=True)
        await trio.sleep(self.rng.uniform(0.2, MAX_LEAVE_S))
        self._mark(database, is_leaving=False)
        await trio.sleep(self.choose_duration_s())

    def _mark(self, database: Database, is_leaving: bool) -> None:
        database.upstream = msgspec.structs.replace(
            database.upstream, is_leaving=is_leaving
        )


class _LoseAnswers(Fault):
    async def inject(self) -> None:
        self.replicas.n_answers_to_lose += self.rng.randrange(1, 4)


class _LosePromotion(Fault):
    async def inject(self) -> None:
        self.replicas.n_promotions_to_lose = 1


class _LatePromotion(Fault):
    """Takes the primary away and leaves the promotion call unanswered for seconds."""

    async def inject(self) -> None:
        self.replicas.promotion_lateness_s.append(self.choose_late_s())
        name = self.find_running_primary()
        if name is not None:
            await self.stop_for(name)


class _LoseAll(Fault):
    """Loses the primary for good and kills all processes at about the same time.

    This happens once in a run: two of three databases could hold the only copies.
    """

    async def inject(self) -> None:
        name = self.find_running_primary()
        if name is None or not self.deployment.may_lose_for_good(name):
            return
        self.deployment.lose_for_good(name, is_silent=self.rng.random() < 0.5)
        await trio.sleep(self.rng.uniform(0.0, MAX_KILL_DELAY_S))
        self.deployment.kill_all()


class _OddEntry(Fault):
    """Leaves an entry of another writer among those of the databases."""

    async def inject(self) -> None:
        name = UpstreamId(f"odd-{self.rng.randrange(1000)}")
        self.deployment.standin.write_odd_entry(name, self.rng.choice(ODD_ENTRIES))
        await trio.sleep(self.choose_duration_s())
        self.deployment.standin.delete_entry(name)


FAULTS.add("kill", _Kill)
FAULTS.add("kill-all", _KillAll)
FAULTS.add("stop", _Stop)
FAULTS.add("pause", _Pause)
FAULTS.add("reload", _Reload)
FAULTS.add("publish", _Publish)
FAULTS.add("delay", _Delay)
FAULTS.add("reset", _Reset)
FAULTS.add("cut-one-way", _CutOneWay)
FAULTS.add("silence", _Silence)
FAULTS.add("store-down", _StoreDown)
FAULTS.add("store-silent", _StoreSilent)
FAULTS.add("store-answers-lost", _StoreAnswersLost)
FAULTS.add("store-forgets", _StoreCompacts)
FAULTS.add("store-restored", _StoreRestored)
FAULTS.add("crash", _Crash)
FAULTS.add("deaf", _CutReplication)
FAULTS.add("lag", _Lag)
FAULTS.add("leave", _Leave)
FAULTS.add("lose-answers", _LoseAnswers)
FAULTS.add("lose-promotion", _LosePromotion)
FAULTS.add("late-promotion", _LatePromotion)
FAULTS.add("lose-all", _LoseAll)
FAULTS.add("odd-entry", _OddEntry)
for _name, _fault in {**MEMBERSHIP_FAULTS, **REPLACEMENT_FAULTS}.items():
    FAULTS.add(_name, _fault)


class FaultSchedule:
    """A schedule of random faults, some repeated, that is determined by a seed.

    :param only: names of the faults to choose from; all if empty.
    """

    def __init__(
        self, deployment: SoakDeployment, seed: int, only: tuple[str, ...] = ()
    ) -> None:
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._names = list(only) or FAULTS.names()

    async def run(self, nursery: trio.Nursery) -> None:
        """Start faults in the nursery until cancelled.

        Faults in progress continue in the nursery after that.
        """
        while True:
            await trio.sleep(self._rng.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S))
            name = self._rng.choice(self._names)
            n_times = self._rng.randrange(1, MAX_REPEATS + 1)
            self._deployment.record(f"{name} x{n_times}")
            rng = random.Random(self._rng.random())
            nursery.start_soon(self._inject, name, n_times, rng)

    async def _inject(self, name: str, n_times: int, rng: random.Random) -> None:
        fault = FAULTS.find(name)(self._deployment, rng)
        for _ in range(n_times):
            await fault.inject()
            await trio.sleep(REPEAT_INTERVAL_S)
