"""A model of instances that share an account's rate, with the shipped decisions.

It runs on a clock of its own, in steps. Messages arrive at once or not at all, and the
news of other instances arrives with a lag. Clients at all instances take as many tokens
as they get.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

from celeryfold.accounts.fleet import Fleet, RecordedInstance, Sighting
from celeryfold.accounts.rate_messages import Verdict
from celeryfold.accounts.rates import RateLimitBounds
from celeryfold.accounts.roles import CoordinatorRoles, RoleRules
from celeryfold.accounts.rules import AccountRules
from celeryfold.accounts.token_granting import TokenGranter
from celeryfold.kernel.ids import AccountId, Generation, InstanceId, RegionId
from celeryfold.kernel.rendezvous import compute_weight

STEP_S = 0.4
ACCOUNT = AccountId("a")
BOUNDS = RateLimitBounds()
# Requests at each instance and step, more than any bucket grants.
MAX_REQUESTS = 400


def compute_limit(rules: AccountRules) -> float:
    assert rules.rate_per_s is not None
    allowed = rules.rate_per_s * BOUNDS.window_s + rules.burst
    return allowed * (1.0 + BOUNDS.excess) + BOUNDS.slack


class ModelInstance:
    """One run of an instance, from its start to its end."""

    def __init__(self, model: RateModel, name: str) -> None:
        self.model = model
        self.name = InstanceId(name)
        self.fleet = Fleet(model.read_clock)
        self.roles = CoordinatorRoles(
            self.name, self.fleet, model.read_clock, True, model.role_rules
        )
        self.granter = TokenGranter(self.roles, BOUNDS, model.read_clock)
        self.seen: dict[str, float] = {}
        self.fleet.expect(model.recorded if model.keeps_record else ())

    def update(self) -> None:
        model = self.model
        for name in model.find_reached(self.name):
            self.seen[name] = model.now - model.lag_s
        seen = {**self.seen, self.name: model.now}
        self.fleet.update(
            Sighting(InstanceId(n), n, RegionId("r"), at, False)
            for n, at in seen.items()
        )
        rules = {} if model.rules is None else {ACCOUNT: model.rules}
        self.granter.adopt(rules, Generation(1))
        self.granter.update()

    def renew(self) -> None:
        for address, accounts in self.roles.list_renewals().items():
            if self.model.is_connected(self.name, address):
                partner = self.model.running[address]
                if self.model.shares_memory:
                    partner.fleet.merge_missing(self.fleet.list_missing())
                    self.fleet.merge_missing(partner.fleet.list_missing())
                granted = partner.roles.grant_leases(self.name, accounts)
                n_known = partner.fleet.n_known if self.model.shares_memory else 0
                self.roles.record_leases(address, granted, self.model.now, n_known)

    def take(self) -> bool:
        """Take a token as :class:`DistributedRateLimiter` does."""
        for member in self.fleet.rank(ACCOUNT):
            address = member.address
            if address != self.name and not self.model.is_connected(self.name, address):
                continue
            partner = self.model.running[address]
            reply = partner.granter.take(ACCOUNT, 0.0, Generation(1))
            if reply.verdict is Verdict.GRANTED:
                return True
            if reply.verdict is Verdict.REFUSED:
                return False
        return False


@dataclass
class RateModel:
    """The instances, the links between them and the operations that started.

    :param lag_s: how old the news of other instances is when it arrives.
    :param shares_memory: whether leases carry the missing instances and the number of
        known ones, as they do.
    :param keeps_record: whether the store's record of the fleet is read at each start.
    :param idle: the instances whose clients take no tokens.
    """

    rules: AccountRules | None
    n_instances: int = 3
    lag_s: float = 0.0
    role_rules: RoleRules = field(default_factory=RoleRules)
    shares_memory: bool = True
    now: float = 0.0
    running: dict[str, ModelInstance] = field(default_factory=dict)
    cuts: set[frozenset[str]] = field(default_factory=set)
    deaf_until: dict[tuple[str, str], float] = field(default_factory=dict)
    started: list[tuple[float, int]] = field(default_factory=list)
    idle: set[str] = field(default_factory=set)
    keeps_record: bool = False
    recorded: tuple[RecordedInstance, ...] = ()

    def __post_init__(self) -> None:
        names = [f"i{number}" for number in range(self.n_instances)]
        for name in names:
            self.start(name)
        self.names = names
        while self.now < 16.0:
            self.step(wants_tokens=False)
        ranked = next(iter(self.running.values())).fleet.rank(ACCOUNT)
        coordinators: list[str] = [member.instance_id for member in ranked]
        self.recorded = tuple(
            RecordedInstance(InstanceId(n), n, RegionId("r")) for n in names
        )
        others = [n for n in names if n not in coordinators]
        self.order = [*coordinators, *others]

    def read_clock(self) -> float:
        return self.now

    def start(self, name: str) -> None:
        self.running[name] = ModelInstance(self, name)

    def kill(self, name: str) -> None:
        self.running.pop(name, None)

    def cut(self, side: set[str]) -> None:
        """Cut some instances off from the others."""
        others = set(self.names) - side
        self.cuts |= {frozenset((a, b)) for a in side for b in others}

    def delay_news(
        self, sources: list[str], targets: list[str], delay_s: float
    ) -> None:
        """Let news of some instances reach others only after a time."""
        for source in sources:
            for target in targets:
                self.deaf_until[source, target] = self.now + delay_s

    def join(self, rank: int) -> str:
        """Start a further instance of a given rank and return its name."""
        weights = [compute_weight(ACCOUNT, name) for name in self.order]
        names = (f"n{number}" for number in itertools.count())
        name = next(
            name
            for name in names
            if sum(w > compute_weight(ACCOUNT, name) for w in weights) == rank
        )
        self.order.insert(rank, name)
        self.names.append(name)
        self.start(name)
        return name

    def is_connected(self, source: str, target: str) -> bool:
        return target in self.running and frozenset((source, target)) not in self.cuts

    def find_reached(self, source: str) -> set[str]:
        """Return the instances whose news reaches another one, also by a third."""
        reached, waiting = {source}, [source]
        while waiting:
            name = waiting.pop()
            found = {
                n
                for n in self.running
                if n not in reached and self.is_connected(name, n)
            }
            reached |= found
            waiting += found
        return {
            name
            for name in reached - {source}
            if self.deaf_until.get((source, name), 0.0) <= self.now
        }

    def step(self, wants_tokens: bool = True) -> None:
        self.now += STEP_S
        for instance in self.running.values():
            instance.update()
        for instance in self.running.values():
            instance.renew()
        if wants_tokens:
            n_started = 0
            for instance in self.running.values():
                if instance.name in self.idle:
                    continue
                for _ in range(MAX_REQUESTS):
                    if not instance.take():
                        break
                    n_started += 1
            self.started.append((self.now, n_started))

    def run(self, duration_s: float, wants_tokens: bool = True) -> None:
        for _ in range(round(duration_s / STEP_S)):
            self.step(wants_tokens)

    def count_densest(self) -> int:
        """Return the most operations that started in any window."""
        return max(
            sum(n for at, n in self.started if start <= at < start + BOUNDS.window_s)
            for start, _ in self.started
        )
