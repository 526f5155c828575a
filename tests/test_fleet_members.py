"""Directors, agents and the registry's stand-in beside the keepers, and the judge of them all."""

import copy
import random
import time

import gevent
import pytest

from ironfall.director.channel import Channel
from ironfall.director.member import Membership
from ironfall.director.sessions import Sessions
from ironfall.director.stands import Stands
from ironfall.publication import Publication
from tests.rig import Rig, until
from tests.test_director import bound

SECOND = 10_000
H0, H1 = "h0@10.0.0.1:1", "h1@10.0.0.2:1"


class Director:
    """The records of one, without its loop."""

    def __init__(self):
        self.published = Publication(1, 2, versions=50)
        self.sessions = Sessions(10_000, 4 * SECOND, 40)
        self.stands = Stands(self.published, self.sessions, Channel(1000.0), 2, 100.0, 6 * SECOND, 3 * SECOND)
        for table in (0, 1):
            for host in (H0, H1):
                self.published.set_line(table, host, 1.0)
        self.published.close()

    def join(self, name, binds=True):
        session = self.sessions.open(0, name, name, 0, 0, lambda: None)
        session.released = session.confirmed = self.published.join(session.number)
        if binds:
            self.bind(session)
        return session

    def bind(self, session, confirmed=True):
        for kind in (0, 1):
            self.published.bind(session.number, kind, 1 << kind)
        self.published.close()
        session.released = self.published.version
        session.confirmed = self.published.version if confirmed else session.confirmed

    def mark(self, token, state="draining", at=0, name="h0", whole=False):
        self.stands.marks.listed(at, [{"name": name, "state": state, "token": token}], whole)

    def out(self, host=H0, out=True):
        self.published.withdraw(host, out)
        self.published.close()

    def look(self, now=0, silent=()):
        for _ in self.stands.look(now, [H0, H1], list(silent)):
            pass
        return self.stands.word


def confirm(director, *sessions):
    for session in sessions:
        session.confirmed = session.released = director.published.version


def test_a_drain_is_confirmed_when_each_joined_proxy_holds_it_no_more():
    it = Director()
    first, second = it.join("p1"), it.join("p2")
    it.mark(7)
    assert it.look()["drained"] == {}, "it stands in tables"
    it.out()
    assert it.look()["drained"] == {}, "withdrawn, and confirmed by nobody"
    confirm(it, first)
    assert it.look()["drained"] == {}
    confirm(it, second)
    assert it.look()["drained"] == {"h0": 7}
    late = it.join("p3", binds=False)
    assert it.look()["drained"] == {}, "one that joined with an old table picks from it until it is bound"
    it.bind(late, confirmed=False)
    assert it.look()["drained"] == {}
    confirm(it, late)
    assert it.look()["drained"] == {"h0": 7}
    it.out(out=False)
    it.out()
    assert it.look()["drained"] == {}, "it was back for a version that somebody may hold"
    confirm(it, first, second, late)
    it.mark(6, "ready")
    assert it.look()["drained"] == {"h0": 7}, "an older order says nothing"
    it.mark(9, "ready")
    assert it.look()["drained"] == {}


def test_a_drain_withdrawn_after_it_joined_reaches_who_is_not_bound():
    it = Director()
    session = it.join("p1", binds=False)
    it.mark(7)
    it.out()
    confirm(it, session)
    assert it.look()["drained"] == {"h0": 7}
    it = Director()
    it.out()
    it.join("p1", binds=False)
    it.mark(7)
    assert it.look()["drained"] == {}


def test_one_never_in_a_table_is_drained_where_all_are_bound():
    it = Director()
    for table in (0, 1):
        it.published.set_line(table, H0, 0.0)
    it.published.close()
    session = it.join("p1", binds=False)
    it.mark(7)
    assert it.look()["drained"] == {}
    it.bind(session)
    assert it.look()["drained"] == {"h0": 7}


@pytest.mark.parametrize("seed", range(30))
def test_what_is_confirmed_is_held_by_none(seed):
    """Against the proxies' own holdings: whatever is ordered, told, compacted or joined between two looks."""
    from ironfall.publication import Holding

    chance, it = random.Random(seed), Director()
    it.published.versions = 6
    holdings, said = {}, 0
    it.mark(5)
    for n in range(300):
        what = chance.choice(("out", "in", "join", "bind", "tell", "tell", "tell", "leave", "line", "look", "look"))
        session = chance.choice(list(holdings)) if holdings else None
        if what in ("out", "in"):
            if (H0 in it.published.outs) != (what == "out") and chance.random() < 0.3 + 0.6 * (what == "out"):
                it.out(out=what == "out")
        elif what == "line":
            it.published.set_line(chance.randrange(2), chance.choice((H0, H1)), chance.choice((0.0, 1.0, 2.0)))
            it.published.close()
        elif what == "join" and len(holdings) < 4:
            session = it.join(f"p{n}", binds=False)
            holdings[session] = Holding(2, {H0: 1, H1: 1})
            holdings[session].join(1, session.confirmed)
        elif what == "bind" and session:
            it.bind(session, confirmed=False)
        elif what == "leave" and session:
            it.sessions.close(session)
            it.published.leave(session.number)
            del holdings[session]
        elif what == "tell" and session:
            session.released = it.published.version
            start = session.confirmed if it.published.reaches(session.confirmed, session.released) else -1
            holdings[session].apply(it.published.delta(session.number, start, session.released))
            session.confirmed = holdings[session].version
        elif what == "look":
            if it.look()["drained"]:
                said += 1
                assert not any(H0 in holding.named() for holding in holdings.values()), n
    assert said, "the seed never drained it"


def test_words_of_who_is_bare_what_waits_and_how_near_a_rule_is():
    it = Director()
    it.join("p1")
    waiting = it.join("p2", binds=False)
    waiting.held = 1
    for kind, came, lost in ((0, 60, 6), (1, 40, 0)):
        it.stands.arrived(kind, came, lost)
    it.published.admit(2, 0.5, 1)
    it.published.close()
    word = it.look(now=0, silent=[H1])
    assert (word["proxies"], word["bare"], word["silent"]) == (2, 1, ["h1"])
    assert word["binding"] == 2 * 2 + 2 + 0 + 1
    assert (word["refused"], word["fulfilled"]) == (200_000, 740_000)
    assert it.look(now=3 * SECOND)["near"] == 500_000
    assert it.look()["fulfilled"] == 1_000_000
    it.out(H0)
    it.out(H1)
    assert it.look()["bare"] == 2


def test_a_word_is_made_in_portions():
    it = Director()
    for n in range(1000):
        it.join(f"p{n}", binds=False)
    assert sum(1 for _ in it.stands.look(0, [H0], [])) == 3
    for session in it.sessions.by_token.values():
        it.bind(session)
    it.mark(3)
    it.out()
    confirm(it, *it.sessions.by_token.values())
    assert it.look()["drained"] == {"h0": 3}
    steps = it.stands.look(0, [H0], [])
    next(steps)
    it.out(out=False)
    for _ in steps:
        pass
    assert it.stands.word["drained"] == {}, "it came back while this looked"


def test_a_lease_counts_from_when_it_was_asked_for_and_comes_anew_when_it_is_over():
    member = Membership("d1", "hill", "1", 100, 9 * SECOND, 0.1)
    assert member.due(1)
    member.joined(1000)
    assert not member.due(1000 + 3 * SECOND - 1) and member.due(1000 + 3 * SECOND)
    assert member.live(1000 + 8 * SECOND) and not member.live(1000 + int(8.1 * SECOND))
    assert [member.say({})["directors"]["d1"]["n"] for _ in range(3)] == [1, 2, 3]
    member.over()
    assert member.due(1000) and not member.live(1000)
    assert member.say({"proxies": 1})["directors"]["d1"] == {"inc": 101, "n": 1, "proxies": 1}


class Answers:
    """Keepers as they may be: `how` is what becomes of an entry."""

    def __init__(self, how):
        self.how, self.asked = how, []

    def ask(self, entry):
        self.asked.append(entry)
        return self.how(entry)


def mute(_entry):
    gevent.sleep(60)


def dead(_entry):
    raise ConnectionRefusedError("nobody listens")


def nonsense(_entry):
    return random.Random(1).choice([None, 7, "ok", [], {}, {"ok": 3}])


@pytest.mark.parametrize("how", [mute, dead, nonsense])
def test_turns_and_polls_go_on_with_keepers_dead_mute_or_talking_nonsense(how):
    keepers = Answers(how)
    with Rig(keepers=keepers) as rig:
        peer, holding = bound(rig)
        until(lambda: keepers.asked)
        longest, turns = 0.0, rig.live.lengths.get_total_count()
        for _ in range(10):
            began = time.monotonic()
            assert peer.poll(version=holding.version, wait_ms=20)[0] in (200, 204)
            longest = max(longest, time.monotonic() - began)
        assert longest < 1.0  # a mute keeper would hold it for 60 s
        assert peer.sums(1, h1=(10, 2)) == 204
        until(lambda: rig.live.lengths.get_total_count() > turns + 1)
        assert rig.program.status()["member"]["lease_s"] == 0 or how is nonsense


def test_a_director_joins_says_its_drain_and_comes_anew_when_it_lapsed():
    lapsed = []

    def ledger(entry):
        if entry["k"] == "join":
            return {"no": "incarnation is over"} if entry["inc"] in lapsed else {"ok": {"until": 5}}
        inc = entry["directors"]["director"]["inc"]
        return {"ok": {"director": "no live lease"} if inc in lapsed else True}

    keepers = Answers(ledger)
    with Rig(keepers=keepers) as rig:
        peer, holding = bound(rig)
        rows = copy.deepcopy(rig.registry.rows)
        rows[0] |= {"state": "draining", "token": 41}
        rig.registry.set(rows)

        def words():
            return [e["directors"]["director"] for e in keepers.asked if e["k"] == "words"]

        until(lambda: words() and words()[-1]["drained"] == {} and any("h0@" in h for h in rig.live.publication.outs))
        status, state = peer.poll(version=holding.version)
        assert holding.apply(state) and any("h0@" in h for h in holding.outs)
        assert not any(word["drained"] for word in words()), "told, and not confirmed"
        peer.poll(version=holding.version, wait_ms=1)
        until(lambda: words()[-1]["drained"] == {"h0": 41} and words()[-1]["proxies"] == 1)
        lapsed.append(rig.live.epoch)
        until(lambda: words()[-1]["inc"] == rig.live.epoch + 1, 15)
        assert [word["n"] for word in words() if word["inc"] == rig.live.epoch + 1][0] == 1
