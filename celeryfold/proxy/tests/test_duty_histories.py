"""Random histories of a duty over outages and restores of the store.

Three instances compete for one duty. The store is cut off from single instances, is
copied, returns to the copy and loses answers, and instances restart. At no time do two
instances hold the duty, and their fencing tokens rise in the order of the holders.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryfold.conftest import count_examples
from celeryfold.exceptions import CeleryfoldError
from celeryfold.kernel.ids import InstanceId
from celeryfold.proxy import leases
from celeryfold.proxy.leases import Duty, LeaseManager
from celeryfold.proxy.store import CoordinationStore, StoreUnavailable
from celeryfold.standins.coordination import MemoryStore

pytestmark = pytest.mark.proof

KEY = "celeryfold/duties/orders"
N_INSTANCES = 3
STEP_S = 0.2
EVENTS = ["wait", "wait", "copy", "return", "lose", "cut", "restart", "renew"]


class History:
    """A duty, its competitors and the store, whose events are applied one by one."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.store = MemoryStore()
        self.copy = self.store.copy()
        self.nursery = nursery
        self.is_cut = [False] * N_INSTANCES
        self.scopes: list[trio.CancelScope | None] = [None] * N_INSTANCES
        self.duties: list[Duty] = []
        self.violations: list[str] = []
        self.highest = 0
        self.last_holder: tuple[int, int] | None = None
        self.n_processes = 0
        for number in range(N_INSTANCES):
            self.duties.append(self.start(number))

    def start(self, number: int) -> Duty:
        self.n_processes += 1
        store = self.connect(number)
        manager = LeaseManager(store, trio.current_time)
        scope = self.scopes[number] = trio.CancelScope()
        holder = InstanceId(f"i{number}")
        duty = Duty(KEY, holder, store, manager, trio.current_time)
        # Tasks that wake at the same time run in a random order, so they wake apart.
        offset_s = number * STEP_S / 4
        self.nursery.start_soon(self.run, scope, manager, store, duty, offset_s)
        return duty

    def connect(self, number: int) -> CoordinationStore:
        client = self.store.connect()
        inner = client._store  # type: ignore[attr-defined]
        real_call = inner._call

        async def call(waiting):
            if self.is_cut[number]:
                waiting.close()
                await trio.sleep(0.3)
                raise StoreUnavailable("cut off")
            return await real_call(waiting)

        inner._call = call
        return client

    async def run(
        self,
        scope: trio.CancelScope,
        manager: LeaseManager,
        store: CoordinationStore,
        duty: Duty,
        offset_s: float,
    ) -> None:
        with scope:
            await trio.sleep(offset_s)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(manager.run)
                while True:
                    try:
                        await self.step(store, duty)
                    except CeleryfoldError:
                        pass
                    await trio.sleep(STEP_S)

    async def step(self, store: CoordinationStore, duty: Duty) -> None:
        """Compete as a guardian does."""
        if duty.has_expired:
            duty.drop("expired")
        if duty.is_held:
            await duty.verify()
            return
        item = await store.get(KEY)
        if item is not None and duty.claim_if_own(item):
            return
        if item is None or duty.is_from_earlier_process(item):
            if not duty.must_wait:
                await duty.take(item)

    def check(self) -> None:
        held = [n for n, duty in enumerate(self.duties) if duty.is_held]
        if len(held) > 1:
            self.violations.append(f"{held} hold the duty at {trio.current_time():.1f}")
        for number in held:
            token = self.duties[number].require_token()
            holder = (number, token)
            if holder != self.last_holder and token <= self.highest:
                self.violations.append(f"token {token} after {self.highest}")
            self.last_holder = holder
            self.highest = max(self.highest, token)

    def apply(self, event: str, number: int) -> None:
        if event == "copy":
            self.copy = self.store.copy()
        elif event == "return":
            self.store.restore(self.copy)
        elif event == "lose":
            self.store.n_answers_to_lose += 1
        elif event == "cut":
            self.is_cut[number] = not self.is_cut[number]
        elif event == "restart":
            scope = self.scopes[number]
            assert scope is not None
            scope.cancel()
            self.duties[number] = self.start(number)


def find_violations(events: list[tuple[str, int, int]]) -> list[str]:
    """Apply events, each followed by a number of steps; return what was broken."""

    async def run() -> list[str]:
        async with trio.open_nursery() as nursery:
            history = History(nursery)
            await trio.sleep(3.0)
            for event, number, n_steps in events:
                history.apply(event, number)
                for _ in range(n_steps):
                    history.check()
                    await trio.sleep(STEP_S / 2)
            history.check()
            nursery.cancel_scope.cancel()
        return history.violations

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


event_lists = st.lists(
    st.tuples(
        st.sampled_from(EVENTS),
        st.integers(0, N_INSTANCES - 1),
        st.integers(0, 20),
    ),
    max_size=14,
)


@settings(max_examples=count_examples(60, 3000), deadline=None)
@given(event_lists)
def test_no_two_instances_hold_a_duty_and_tokens_rise(events):
    assert find_violations(events) == []


# The restored key names an earlier process of instance 0, while the later holder is cut
# off from the store and its lease still runs.
RESTORE_BESIDE_A_CUT = [
    ("wait", 0, 20),
    ("copy", 0, 1),
    ("cut", 0, 50),
    ("wait", 0, 20),
    ("cut", 1, 1),
    ("cut", 2, 1),
    ("restart", 0, 0),
    ("cut", 0, 0),
    ("return", 0, 30),
]


def omit_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    async def confirm_era(self: LeaseManager) -> None:
        self._confirmed_era = self._store.era

    monkeypatch.setattr(leases.LeaseManager, "_confirm_era", confirm_era)
    monkeypatch.setattr(leases.LeaseManager, "must_wait", False)


def forget_eras(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(MemoryStore, "connect", lambda self: _Unordered(self))


class _Unordered:
    """A client that knows nothing of eras."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = self
        self._target = store
        self.era = 0
        self.era_age_s = 1e9
        self.has_seen_restore = False

    async def _call(self, waiting):
        return await waiting

    def __getattr__(self, name: str):
        method = getattr(self._target, name)

        async def call(*arguments):
            return await self._call(method(*arguments))

        return call


@pytest.mark.parametrize("weaken", [omit_wait, forget_eras])
def test_each_rule_is_needed(
    weaken: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
):
    assert find_violations(RESTORE_BESIDE_A_CUT) == []
    weaken(monkeypatch)
    assert find_violations(RESTORE_BESIDE_A_CUT)
