"""The decisions at full fleet: 200 hosts, all 1,500 proxies at one director. Each test is of a rule that broke."""

import random

import pytest

from ironfall.decisions.channel_budget import ChannelBudget
from tests.fleet import SECOND, Fleet, names, terms


def crowd(fleet, proxies, hosts, seconds):
    """All come within so many seconds, each with a table of a few hosts."""
    chance, each = random.Random(7), round(proxies / (10 * seconds))
    for first in range(0, proxies, each):
        for proxy in range(first, min(proxies, first + each)):
            fleet.join(proxy, chance.sample(hosts, 5))
        fleet.close()
        fleet.run(0.1)


def test_all_proxies_come_to_one_director_and_are_bound_within_the_grace():
    # A table of 200 hosts for each was 310,000 lines, a minute of the channel: who waited longer than the grace
    # named hosts that had long gone.
    fleet, hosts = Fleet(terms()), names(b"a", 200)
    fleet.list(hosts)
    fleet.run(2)
    crowd(fleet, 1_500, hosts, 2)
    fleet.run(9)
    assert not fleet.unbound() and max(fleet.bound_after.values()) <= fleet.service.drain_grace
    assert fleet.most_waiting <= fleet.service.queue_limit


def test_every_proxy_has_a_table_of_enough_hosts_and_every_host_is_named():
    fleet, hosts = Fleet(terms()), names(b"a", 200)
    fleet.list(hosts)
    crowd(fleet, 1_500, hosts, 2)
    fleet.run(9)
    used = {t: fleet.tables[t] for t in fleet.bound.values()}
    assert set().union(*used.values()) == set(hosts)
    assert all(6 <= len(t) <= 30 for t in used.values())


def test_few_proxies_go_on_sharing_one_table_a_zone():
    fleet, hosts = Fleet(terms(proxies=6)), names(b"a", 10)
    fleet.list(hosts)
    for proxy in range(6):
        fleet.join(proxy, hosts[:5])
    fleet.run(5)
    assert len(set(fleet.bound.values())) == 2


def test_confirmations_cost_no_decision_each_while_hosts_wait_to_drain():
    # Each of 1,500 went through all hosts and proxies anew: 9 ms each, turns of 3.6 s, and the drains late.
    fleet, hosts = Fleet(terms(queue_limit=12_000.0)), names(b"a", 200)
    fleet.list(hosts)
    crowd(fleet, 1_500, hosts, 2)
    draining, tried = fleet.director.draining, []
    drain = draining.drain
    draining.drain = lambda now: tried.append(now) or drain(now)
    fleet.list((), hosts[:60])
    fleet.run(2)
    assert len(tried) <= 5 + 2 * SECOND // 500


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_release_while_four_of_five_directors_go_leaves_a_fifth_of_the_grace(seed):
    # Each drain went out at once to who was bound, heads and all, and joiners, who name what drains too, waited for it:
    # heard after 9.9 of 9.5 s. Now parts are made for half of the grace, and the last joiners come before late drains.
    fleet, hosts = (
        Fleet(
            terms(
                proxies=1_744,
                queue_limit=41_900.0,
                entries_per_second=5_300.0,
                drain_grace=95_000,
                max_message_delay=5_450,
            ),
            5_300,
            seed,
        ),
        names(b"a", 200),
    )
    chance = random.Random(seed)
    fleet.list(hosts)
    fleet.run(1)
    for proxy in range(279):
        fleet.join(proxy, chance.sample(hosts, 20))
    fleet.run(12)
    others = [
        chance.sample(hosts, 20) for _ in range(10)
    ]  # the tables of the four, dealt to parts of their own
    leaving, drains = chance.sample(hosts, 100), {11: 30, 24: 30, 51: 30, 78: 10}
    for step in range(180):
        for proxy in (
            range(279 + 122 * (step - 3), min(1_744, 279 + 122 * (step - 2))) if step >= 3 else ()
        ):
            fleet.join(proxy, others[proxy % 10])
        if count := drains.get(step):
            fleet.list(
                names(b"b", 400)[200 + step : 200 + step + count],
                [leaving.pop() for _ in range(count)],
            )
        fleet.close()
        fleet.run(0.1)
    assert not leaving and not fleet.unbound() and not fleet.late
    assert max(fleet.drain_times.values()) <= 0.8 * fleet.service.drain_grace
    assert (
        fleet.most_waiting <= fleet.service.queue_limit
        and fleet.most_written <= fleet.service.message_limit
    )


def test_hosts_drain_in_steps_while_all_proxies_come():
    fleet, hosts = Fleet(terms()), names(b"a", 200)
    fleet.list(hosts)
    fleet.run(2)
    crowd(fleet, 1_500, hosts, 2)
    for step in range(3):
        fleet.list(
            names(b"b", 240)[200 + 10 * step : 210 + 10 * step], hosts[30 * step : 30 * step + 30]
        )
        fleet.close()
        fleet.run(1.2)
    fleet.run(9)
    assert not fleet.unbound() and not fleet.late
    assert fleet.most_waiting <= fleet.service.queue_limit
    assert fleet.most_written <= fleet.service.message_limit


def test_a_proxy_that_has_a_message_at_this_moment_may_be_written_more_in_it():
    # Counted as one more message, lines that cost none waited: on a day with a jam, tables stood still.
    budget = ChannelBudget(7.0, 10 * SECOND, 10 * SECOND, lambda version: None)
    for proxy in (1, 2):
        budget.add_proxy(proxy)
    for n in range(5):
        budget.charge(n, (1,))
    budget.charge(4, (2,))
    assert budget.max_messages(4, 5, (1,)) == 0 and budget.max_messages(5, 5, (1,)) == 5
    assert budget.max_messages(5, 5, (2,)) == 1 and budget.max_messages(5, 5) == 5
    budget.add_proxy(1)
    assert budget.max_messages(5, 5) == 1  # counted from its joining


def test_what_waits_in_a_slow_channel_is_not_taken_for_lost():
    # After ten seconds it was, while the channel at half its pace still held it: 47,356 lines where 41,500 may.
    fleet = Fleet(terms())
    fleet.join(1)
    fleet.director.budget.charge(fleet.now, (1,), 30_000.0)
    assert fleet.director.budget.unconfirmed_entries(fleet.now + 15 * SECOND) > 30_000


def test_a_small_message_confirmed_frees_its_own_lines_alone():
    budget = ChannelBudget(7.0, 10 * SECOND, 10 * SECOND, lambda version: None)
    budget.charge(0, (1, 2))
    budget.charge(0, (2,), 200.0)
    budget.confirm(1, 1)
    assert budget.unconfirmed_entries(1) == 208
    budget.charge(2, (3,))
    budget.confirm(3, 2)
    assert budget.unconfirmed_entries(3) == 0  # the channel keeps the order
