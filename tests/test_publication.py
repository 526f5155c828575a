"""A proxy ends with the publisher's state whatever is lost, repeated or stale, or detects that its state differs."""

import copy

from hypothesis import given, settings
from hypothesis import strategies as st

from ironfall.publication import MILLION, Delta, Holding, Outcome, Publication
from ironfall.publication.state import out_sum

HOSTS = [f"h{n}@127.0.0.1:{n}" for n in range(4)]
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("line"),
            st.integers(0, 2),
            st.sampled_from(HOSTS),
            st.sampled_from([0.0, 0.5, 2.0]),
        ),
        st.tuples(st.just("out"), st.sampled_from(HOSTS), st.booleans()),
        st.tuples(
            st.just("admit"),
            st.integers(0, 3),
            st.sampled_from([0.0, 0.25, 1.0]),
            st.integers(0, 3),
        ),
        st.tuples(st.just("bind"), st.integers(0, 1), st.integers(0, 2), st.integers(0, 3)),
        st.tuples(st.just("close")),
        st.tuples(
            st.just("fetch"), st.integers(0, 1), st.sampled_from(["take", "lose", "twice", "old"])
        ),
        st.tuples(st.just("rejoin"), st.integers(0, 1)),
        st.tuples(st.just("restart")),
    ),
    max_size=60,
)


def newest_delta(publication, proxy, holding):
    """Returns the delta to the newest version, or the full state if the history is too short."""
    start = holding.version if publication.reaches(holding.version, publication.version) else -1
    return publication.delta(proxy, start, publication.version)


def published_weights(publication, proxy, request_class):
    """Returns the weights of a class's table without withdrawn hosts."""
    table = publication.views[proxy].binds(publication.version).get(request_class)
    lines = publication.tables.get(table, {})
    return {h: w for h, w in lines.items() if h not in publication.outs}


@settings(max_examples=300, deadline=None, derandomize=True)
@given(STEPS, st.integers(1, 6))
def test_both_ends_agree_after_any_sequence_of_orders_and_faults(steps, versions):
    publication, epoch = Publication(1, 2, versions, 12), 1
    holdings = [Holding(2, {HOSTS[0]: 1}) for _ in range(2)]
    previous = [None, None]
    for proxy, holding in enumerate(holdings):
        holding.join(1, publication.join(proxy))
    for step, *arguments in steps:
        if step == "line":
            publication.set_weight(*arguments)
        elif step == "out":
            publication.withdraw(*arguments)
        elif step == "admit":
            publication.admit(*arguments)
        elif step == "bind":
            publication.assign(*arguments)
        elif step == "close":
            publication.close()
        elif step == "rejoin":
            holdings[arguments[0]].join(epoch, publication.join(arguments[0]))
        elif step == "restart":
            epoch += 1
            publication = Publication(epoch, 2, versions, 12)
            for proxy, holding in enumerate(holdings):
                holding.join(epoch, publication.join(proxy))
        elif publication.version:
            proxy, delivery = arguments
            holding = holdings[proxy]
            publication.close()
            delta = copy.deepcopy(newest_delta(publication, proxy, holding))
            if delivery == "old" and previous[proxy]:
                held = copy.deepcopy(vars(holding))
                outcome = holding.apply(previous[proxy])
                assert outcome is not Outcome.DIFFERS
                if outcome is not Outcome.APPLIED:
                    assert vars(holding) == held
            elif delivery != "lose":
                assert holding.apply(delta) in (Outcome.APPLIED, Outcome.REPEATED)
                if delivery == "twice":
                    held = copy.deepcopy(vars(holding))
                    holding.apply(delta)
                    assert vars(holding) == held
            previous[proxy] = delta
    publication.close()
    for proxy, holding in enumerate(holdings):
        holding.apply(newest_delta(publication, proxy, holding))
        for request_class in holding.binds:
            assert holding.lines(request_class) == published_weights(
                publication, proxy, request_class
            )
            assert holding.outs == set(publication.outs)
        assert holding.binds == publication.views[proxy].binds(publication.version)


def test_a_delta_contains_no_later_orders():
    """A delta to a version that the channel has released must not carry orders that still wait in it."""
    publication, holding = Publication(1, 1), Holding(1, {})
    holding.join(1, publication.join(0))
    publication.set_weight(0, HOSTS[0], 1.0)
    publication.assign(0, 0, 0)
    publication.close()
    publication.set_weight(0, HOSTS[1], 1.0)
    publication.withdraw(HOSTS[0], True)
    publication.close()
    assert holding.apply(publication.delta(0, 0, 1)) is Outcome.APPLIED
    assert list(holding.lines(0)) == [HOSTS[0]]
    assert holding.apply(publication.delta(0, 1, 2)) is Outcome.APPLIED
    assert list(holding.lines(0)) == [HOSTS[1]]


def test_a_delta_with_a_wrong_checksum_changes_nothing():
    publication, holding = Publication(1, 1), Holding(1, {HOSTS[0]: 1})
    holding.join(1, publication.join(0))
    publication.set_weight(0, HOSTS[1], 1.0)
    publication.assign(0, 0, 0)
    publication.close()
    delta = copy.deepcopy(publication.delta(0, 0, 1))
    delta.lines[0] = (0, HOSTS[1], 7)
    assert holding.apply(delta) is Outcome.DIFFERS
    assert list(holding.lines(0)) == [HOSTS[0]]


def test_the_cost_of_one_changed_entry_does_not_depend_on_the_table_size():
    for size in (30, 1_000):
        publication = Publication(1, 1)
        publication.join(0)
        for n in range(size):
            publication.set_weight(0, f"h{n}", 1.0)
        publication.assign(0, 0, 0)
        publication.close()
        publication.set_weight(0, "h7", 2.0)
        assert publication.close() == {0: 1}
        assert publication.delta(0, 1, 2).size == 1


def test_an_unassigned_proxy_keeps_its_withdrawals_when_the_history_is_compacted():
    """Built from the history alone, the full state would lack the withdrawal, and the proxy use a draining host."""
    publication, holding = Publication(1, 1, max_versions=2), Holding(1, {HOSTS[0]: 1, HOSTS[1]: 1})
    holding.join(1, publication.join(0))
    publication.withdraw(HOSTS[0], True)
    publication.close()
    assert holding.apply(publication.delta(0, 0, 1)) is Outcome.APPLIED
    for n in range(5):
        publication.set_weight(0, HOSTS[2], 1.0 + n)
        publication.close()
    assert not publication.reaches(1, publication.version)
    assert holding.apply(publication.delta(0, -1, publication.version)) is Outcome.APPLIED
    assert list(holding.lines(0)) == [HOSTS[1]]


def test_withdrawals_by_several_dead_directors_leave_hosts_to_pick():
    # Each of three directors withdraws a different host and dies; no successor knows of the withdrawal. This occurred
    # when a director was killed a hundred times.
    holding = Holding(1, {"a": MILLION, "b": MILLION, "c": MILLION})
    for epoch, host in enumerate("abc", 1):
        holding.join(epoch, 0)
        delta = Delta(epoch, 0, 1, out_sum(host), outs=[(host, True)])
        assert holding.apply(delta) is Outcome.APPLIED
        assert holding.lines(0) and host not in holding.lines(0)
    assert holding.lines(0).keys() == {"a", "b"}
