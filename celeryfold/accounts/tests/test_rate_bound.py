"""The operations of an account stay within the bound, in every order of events.

The model takes tokens at all instances without pause while events happen. Each rule
that is taken away yields an order of events in which the bound is exceeded.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

import pytest
from msgspec.structs import replace

from celeryfold.accounts import AccountRules, fleet, token_granting
from celeryfold.accounts.roles import RoleRules

from .rate_model import ACCOUNT, RateModel, compute_limit

LARGE = AccountRules(ACCOUNT, 40.0, 40.0)
FAST = AccountRules(ACCOUNT, 120.0, 50.0)
SMALL = AccountRules(ACCOUNT, 1.0, 1.0)
BURSTY = AccountRules(ACCOUNT, 2.0, 90.0)

Event = Callable[[RateModel], None]


def restart(model: RateModel, rank: int) -> None:
    model.start(model.order[rank])


def cut_link(model: RateModel) -> None:
    model.cuts.add(frozenset(model.order[:2]))


EVENTS: dict[str, Event] = {
    "kill first": lambda m: m.kill(m.order[0]),
    "kill second": lambda m: m.kill(m.order[1]),
    "restart first": lambda m: restart(m, 0),
    "restart second": lambda m: restart(m, 1),
    "isolate first": lambda m: m.cut({m.order[0]}),
    "isolate second": lambda m: m.cut({m.order[1]}),
    "isolate third": lambda m: m.cut({m.order[2]}),
    "cut link": cut_link,
    "cut link of third": lambda m: m.cuts.add(frozenset((m.order[0], m.order[2]))),
    "heal": lambda m: m.cuts.clear(),
}
# Drawn only; the third coordinator differs from the second in its place alone.
FURTHER_EVENTS: dict[str, Event] = {
    "kill third": lambda m: m.kill(m.order[2]),
    "restart third": lambda m: restart(m, 2),
    "isolate both": lambda m: m.cut(set(m.order[:2])),
}
PAUSES_S = (0.4, 8.0)
# Orders of three to five events that are drawn.
N_SEEDS = 40


def run_events(
    names: tuple[str, ...],
    pause_s: float,
    rules: AccountRules = LARGE,
    lag_s: float = 0.0,
    role_rules: RoleRules | None = None,
    is_idle_first: bool = False,
) -> RateModel:
    """Run a model through events; clients may be idle until the last one is over."""
    model = RateModel(rules, lag_s=lag_s, role_rules=role_rules or RoleRules())
    model.run(2.0, not is_idle_first)
    for name in names:
        EVENTS[name](model)
        model.run(pause_s, not is_idle_first)
    model.run(8.0 if pause_s > 4.0 else 16.0)
    return model


def find_counterexample(
    rules: AccountRules,
    lag_s: float = 0.0,
    role_rules: RoleRules | None = None,
    is_idle_first: bool = False,
) -> tuple[tuple[str, ...], float, int] | None:
    for names in itertools.product(EVENTS, repeat=2):
        if names[0] == "heal":
            continue  # Nothing is cut yet.
        for pause_s in PAUSES_S:
            model = run_events(names, pause_s, rules, lag_s, role_rules, is_idle_first)
            n_densest = model.count_densest()
            if n_densest > compute_limit(rules):
                return names, pause_s, n_densest
    return None


@pytest.mark.parametrize(
    ("rules", "lag_s", "is_idle_first"),
    [(LARGE, 5.0, False), (SMALL, 0.0, False), (BURSTY, 0.0, True)],
)
def test_no_order_of_two_events_exceeds_the_bound(rules, lag_s, is_idle_first):
    assert find_counterexample(rules, lag_s, None, is_idle_first) is None


@pytest.mark.parametrize(
    ("rule", "rules"),
    [("uses_leases", LARGE), ("scales_by_reach", LARGE)],
)
def test_without_any_one_rule_an_order_of_two_events_exceeds_the_bound(rule, rules):
    changed = replace(RoleRules(), **{rule: False})
    assert find_counterexample(rules, 0.0, changed) is not None


def run_random_events(seed: int, role_rules: RoleRules | None = None) -> float:
    """Run several events in a small fleet; return the share of the bound."""
    rng = random.Random(seed)
    events = [*EVENTS.values(), *FURTHER_EVENTS.values()]
    rules = rng.choice((LARGE, FAST, SMALL, BURSTY))
    model = RateModel(
        rules,
        n_instances=rng.randint(3, 7),
        lag_s=rng.choice((0.0, 2.0, 5.0)),
        role_rules=role_rules or RoleRules(),
    )
    model.run(2.0, wants_tokens=rng.random() < 0.5)
    for _ in range(rng.randint(3, 5)):
        rng.choice(events)(model)
        model.run(rng.choice((0.4, 1.6, 4.0, 8.0)))
    model.run(16.0)
    return model.count_densest() / compute_limit(rules)


def test_no_random_order_of_more_events_exceeds_the_bound():
    assert max(run_random_events(seed) for seed in range(N_SEEDS)) <= 1.0


@pytest.mark.parametrize("rule", ["uses_leases", "scales_by_reach", "counts_leases"])
def test_without_any_one_rule_a_random_order_exceeds_the_bound(rule):
    changed = replace(RoleRules(), **{rule: False})
    assert any(run_random_events(seed, changed) > 1.0 for seed in range(N_SEEDS))


def test_a_full_bucket_at_a_new_coordinator_would_exceed_the_bound(monkeypatch):
    monkeypatch.setattr(token_granting, "INITIAL_SHARE_OF_SLACK", 100.0)
    assert find_counterexample(BURSTY) is not None


def run_late_noticed_partition() -> RateModel:
    """Cut two instances off that had no news of the others for a while."""
    model = RateModel(LARGE, n_instances=5)
    minority, majority = model.order[3:], model.order[:3]
    model.delay_news(minority, majority, 100.0)
    model.run(6.4)
    model.cut(set(minority))
    model.run(25.0)
    return model


def test_a_partition_that_one_side_notices_first_keeps_the_bound(monkeypatch):
    """Guards against a side that takes over before the other has lowered its rate."""
    assert run_late_noticed_partition().count_densest() <= compute_limit(LARGE)
    monkeypatch.setattr(fleet, "REPLACED_AFTER_S", fleet.MISSING_AFTER_S)
    assert run_late_noticed_partition().count_densest() > compute_limit(LARGE)


def run_unnoticed_second(role_rules: RoleRules) -> RateModel:
    """Start an instance that becomes second, while the first does not know it yet."""
    model = RateModel(FAST, n_instances=4, role_rules=role_rules)
    first, former_second, _, client = model.order
    model.cuts.add(frozenset((first, client)))
    model.run(2.0)
    name = model.join(1)
    model.delay_news([first, former_second], [name], 6.4)
    model.run(15.0)
    return model


def run_unnoticed_first(role_rules: RoleRules) -> RateModel:
    """Start an instance that becomes first, while the third does not know it yet.

    The third one is no coordinator any more. The others make way for the new one.
    """
    model = RateModel(FAST, n_instances=4, role_rules=role_rules)
    former_third, client = model.order[2], model.order[-1]
    model.run(2.0)
    name = model.join(0)
    model.delay_news([former_third, client], [name], 6.8)
    model.run(15.0)
    return model


def run_fleet_restart(role_rules: RoleRules) -> RateModel:
    """Restart all instances at once; two halves of them find each other late."""
    model = RateModel(FAST, n_instances=4, role_rules=role_rules)
    model.run(6.0)
    halves = model.order[:2], model.order[2:]
    for name in model.order:
        model.start(name)
    model.delay_news(halves[0], halves[1], 2.8)
    model.delay_news(halves[1], halves[0], 2.8)
    model.run(15.0)
    return model


@pytest.mark.parametrize(
    ("run", "rule"),
    [
        (run_unnoticed_second, "waits_as_lender"),
        (run_unnoticed_first, "renews_former"),
        (run_fleet_restart, "holds_at_start"),
    ],
)
def test_views_that_differ_keep_the_bound_by_one_rule_each(run, rule):
    assert run(RoleRules()).count_densest() <= compute_limit(FAST)
    changed = replace(RoleRules(), **{rule: False})
    assert run(changed).count_densest() > compute_limit(FAST)


@pytest.mark.parametrize("rules", [FAST, SMALL, BURSTY])
@pytest.mark.parametrize(
    ("coordinators_cut_off", "least"),
    [((), 0.6), ((0,), 0.6), ((1,), 0.6), ((0, 1), 0.3)],
)
def test_a_part_of_the_fleet_cut_off_for_a_while_keeps_the_bound(
    rules, coordinators_cut_off, least
):
    """Guards against two sides that grant the whole rate each, also after the cut.

    The rate that is served during the cut is that of the side with the coordinators.
    """
    model = RateModel(rules, n_instances=20, lag_s=2.0)
    n_others = 7 - len(coordinators_cut_off)
    side = {model.order[n] for n in coordinators_cut_off}
    model.run(2.0)
    model.cut(side | set(model.order[-n_others:]))
    model.run(12.0)
    model.cuts.clear()
    model.run(16.0)
    assert model.count_densest() <= compute_limit(rules)
    served = [n for at, n in model.started if 22.0 < at <= 28.0]
    assert sum(served) >= least * 6.0 * (rules.rate_per_s or 0.0)


def run_restart_in_partition(shares_memory: bool) -> RateModel:
    """Restart the first coordinator while the second one is cut off."""
    model = RateModel(FAST, lag_s=5.0, shares_memory=shares_memory)
    model.cut({model.order[1]})
    model.run(6.0, wants_tokens=False)
    restart(model, 0)
    model.run(25.0)
    return model


def run_restart_beside_cut(role_rules: RoleRules) -> RateModel:
    """Restart the first coordinator, which never sees the third one."""
    model = RateModel(FAST, role_rules=role_rules)
    model.run(2.0)
    model.cut({model.order[2]})
    model.run(0.4)
    restart(model, 0)
    model.run(20.0)
    return model


def test_a_restarted_coordinator_learns_how_many_others_know():
    """Guards against parts that are too large where one coordinator was never seen."""
    assert run_restart_beside_cut(RoleRules()).count_densest() <= compute_limit(FAST)
    changed = RoleRules(heeds_others=False)
    assert run_restart_beside_cut(changed).count_densest() > compute_limit(FAST)


def test_a_restarted_instance_learns_which_ones_are_missing():
    """Guards against a part of the fleet that takes itself for the whole."""
    assert run_restart_in_partition(True).count_densest() <= compute_limit(FAST)
    assert run_restart_in_partition(False).count_densest() > compute_limit(FAST)


def run_restarts(rules: AccountRules, pause_s: float) -> RateModel:
    """Use a full burst, and restart the first coordinator again and again."""
    model = RateModel(rules)
    assert rules.rate_per_s is not None
    model.run(rules.burst / rules.rate_per_s + 2.0, wants_tokens=False)
    model.step()
    for _ in range(4):
        restart(model, 0)
        model.run(pause_s)
    return model


@pytest.mark.parametrize("pause_s", [1.6, 2.0, 2.4])
@pytest.mark.parametrize(
    "rules", [AccountRules(ACCOUNT, *limit) for limit in ((0.5, 20), (1, 12), (16, 16))]
)
def test_a_coordinator_that_restarts_several_times_keeps_the_bound(rules, pause_s):
    """Guards against the tokens of a new bucket after each of several restarts."""
    assert run_restarts(rules, pause_s).count_densest() <= compute_limit(rules)


def test_a_lowered_limit_binds_one_window_later():
    model = RateModel(LARGE)
    model.run(6.0)
    lowered = AccountRules(ACCOUNT, 4.0, 4.0)
    model.rules = lowered
    model.started.clear()
    EVENTS["kill first"](model)
    model.run(20.0)
    assert model.count_densest() <= compute_limit(lowered)


def test_an_account_gets_its_rate_where_nothing_fails():
    """Guards against refusals below the rate, also through former bursts."""
    model = RateModel(LARGE)
    model.run(2.0, wants_tokens=False)
    model.run(20.0)
    assert sum(n for _, n in model.started) >= 40.0 + 40.0 * 19.0


@pytest.mark.parametrize(
    ("events", "least"),
    [
        # Both coordinators grant half, and clients ask both.
        (("cut link",), 0.95),
        # The lease of the lost coordinator ends first.
        (("kill first",), 0.45),
        (("kill second",), 0.45),
        (("isolate third",), 0.6),
    ],
)
def test_an_account_gets_part_of_its_rate_during_faults(events, least):
    model = run_events(events, 0.4)
    late = [n for at, n in model.started if model.now - 12.0 < at <= model.now - 4.0]
    assert sum(late) >= least * 40.0 * 8.0


def restart_together(model: RateModel, names: list[str]) -> None:
    """Kill instances at the same moment, and start them one step later."""
    for name in names:
        model.kill(name)
    model.step()
    for name in names:
        model.start(name)


def run_partition_restart(
    n_instances: int, n_on_side: int, is_whole: bool, keeps_record: bool
) -> RateModel:
    """Cut a fleet in two and restart it, or one side, while the cut lasts.

    :param n_on_side: how many instances are on one side of the cut.
    :param is_whole: whether both sides are restarted.
    """
    model = RateModel(LARGE, n_instances=n_instances, keeps_record=keeps_record)
    model.run(2.0)
    side = model.order[:n_on_side]
    model.cut(set(side))
    model.run(2.0)
    restart_together(model, model.order if is_whole else side)
    model.run(30.0)
    model.cuts.clear()
    model.run(30.0)
    return model


# Guards against review case 6: each side of a partition grants the whole rate after all
# processes were killed.
@pytest.mark.parametrize("is_whole", [True, False])
@pytest.mark.parametrize(("n_instances", "n_on_side"), [(4, 2), (9, 3), (9, 6), (6, 1)])
def test_a_restart_during_a_partition_keeps_the_bound(n_instances, n_on_side, is_whole):
    model = run_partition_restart(n_instances, n_on_side, is_whole, True)
    assert model.count_densest() <= compute_limit(LARGE)


def test_without_the_record_a_restart_during_a_partition_exceeds_the_bound():
    model = run_partition_restart(4, 2, True, False)
    assert model.count_densest() > compute_limit(LARGE)


def test_a_restart_of_all_without_a_partition_costs_no_rate():
    served = []
    for keeps_record in (False, True):
        model = RateModel(LARGE, n_instances=6, keeps_record=keeps_record)
        model.run(2.0)
        restart_together(model, model.order)
        model.started.clear()
        model.run(20.0)
        served.append(sum(n for _, n in model.started))
    assert served[1] >= served[0]


def run_late_halves(delay_s: float, keeps_record: bool) -> RateModel:
    """Restart all instances; two halves of them find each other late."""
    model = RateModel(LARGE, n_instances=4, keeps_record=keeps_record)
    model.run(2.0)
    restart_together(model, model.order)
    model.cut(set(model.order[:2]))
    model.run(delay_s)
    model.cuts.clear()
    model.run(30.0)
    return model


# Guards against halves that each take themselves for the whole after a restart of all.
@pytest.mark.parametrize("delay_s", [4.4, 8.0, 12.0])
def test_halves_that_find_each_other_late_after_a_restart_keep_the_bound(delay_s):
    limit = compute_limit(LARGE)
    assert run_late_halves(delay_s, True).count_densest() <= limit
    assert run_late_halves(delay_s, False).count_densest() > limit
