"""Observers as processes beside keepers and members: one of a host's days, and faults at exact messages."""

import random

import gevent

from ironfall.director.member import Way
from ironfall.lab.works import Works
from tests.observed import SECOND, Members, Observed
from tests.rig import until


def works_of(group, it, **about):
    return Works(lambda who: Way(group.client(who), 2.0), "s", 1, 6 * SECOND, random.Random(1),
                 it.tape.teller("operators"), it.live.log, **about)  # fmt: skip


def test_a_host_goes_out_and_comes_back_behind_observers(tmp_path):
    with Observed(tmp_path) as group:
        it = Members(group)
        proxy, host = gevent.spawn(it.follow), it.lab.hosts["h03"]
        works = works_of(group, it)
        try:
            until(it.joined, 30)
            gevent.spawn(works.work, "h03", 0.5)
            until(lambda: not host.up, 40)
            until(lambda: works.ended and it.registry.rows[host.id]["state"] == "ready", 40)
            until(lambda: group.ledger()["permits"] == {})
        finally:
            works.stop()
            proxy.kill()
            it.stop()
    told = [row["e"] for row in it.judged() if "unit" in row and row["e"] != "shown"]
    assert told == ["stopped", "started"]
