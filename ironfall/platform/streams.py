"""Who is joined, by what feeds of the relay's news tell. Pure.

Each feed tells what stands first and then each change, all in the relay's one order but out of step with each other.
So the words on a proxy (joined, left, joined, ...) are counted, and each feed knows how many of them it has told: a
word is news if it is one more than any feed has told, however late the others come with it. While one of them goes
on, what another tells to stand is no news. After a break of all, who stands may have been away in between: who was
bound and holds nothing ordered has started anew, and is joined anew; who holds something may hold another director's,
and has strayed until it is bound again.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

SECOND = 10_000
SILENT = SECOND * 3 // 2  # the relay says something every second
NONCES_MOST = 64  # of calls, whose confirmations are told apart

Fact = tuple[int, float, bool]  # zone, usual exchanges a second, cold: holds nothing ordered now


class Into(Protocol):
    def joined(self, proxy: int, zone: int, rate: float) -> None: ...
    def strayed(self, proxy: int) -> None: ...
    def left(self, proxy: int) -> None: ...
    def applied(self, proxy: int, nonce: int, latency: float) -> None: ...


@dataclass(slots=True, eq=False)
class Feed:
    began: int  # the last word told by any feed when it was opened
    heard: int  # when it last said something
    again: bool  # somebody stood when it was opened
    fresh: bool = True  # tells what stands
    seen: set[int] = field(default_factory=set)
    at: dict[int, int] = field(
        default_factory=dict
    )  # by proxy, how many of the words on it this has told


class Streams:
    def __init__(self, into: Into, now: Callable[[], int]) -> None:
        self.into, self.now = into, now
        self.standing: set[int] = set()
        self.bound: set[int] = set()  # by this director, since they joined
        self.feeds: list[Feed] = []
        self.words: dict[int, int] = {}  # by proxy, how many were told: odd while it stands
        self.changed: dict[
            int, int
        ] = {}  # by proxy, the number of the last word among those on all
        self.last = 0
        self.confirmed: OrderedDict[int, set[int]] = OrderedDict()
        self.gaps = 0  # breaks of all feeds at once

    def opened(self) -> Feed:
        feed = Feed(self.last, self.now(), bool(self.standing))
        self.feeds.append(feed)
        return feed

    def lost(self, feed: Feed) -> None:
        self.feeds.remove(feed)

    def _gap(self, feed: Feed) -> bool:
        """Whether no other feed has told all along what this one has not."""
        since = self.now() - SILENT
        return not any(f is not feed and not f.fresh and f.heard >= since for f in self.feeds)

    def attach(self, feed: Feed, proxy: int, fact: Fact) -> None:
        if feed.fresh and proxy not in feed.seen:
            feed.seen.add(proxy)
            self._stands(feed, proxy, fact)
            return
        self.settle(feed)
        at = feed.at.get(proxy, 0)
        self._word(feed, proxy, at + 1 + at % 2, fact)  # one that stands has left in between

    def detach(self, feed: Feed, proxy: int) -> None:
        self.settle(feed)
        at = feed.at.get(proxy, 0)
        if at % 2:
            self._word(feed, proxy, at + 1, None)

    def done(self, feed: Feed, proxy: int, nonce: int, latency: float) -> None:
        self.settle(feed)
        by = self.confirmed.get(nonce)
        if by is None:
            by = self.confirmed[nonce] = set()
            while len(self.confirmed) > NONCES_MOST:
                self.confirmed.popitem(last=False)
        if proxy not in by and proxy in self.standing:
            by.add(proxy)
            self.into.applied(proxy, nonce, latency)

    def ordered(self, nonce: int) -> None:
        """A call goes out under a number that may have been used long ago."""
        self.confirmed.pop(nonce, None)

    def told(self, proxy: int) -> int:
        """The number of the last word on a proxy."""
        return self.changed.get(proxy, 0)

    def settle(self, feed: Feed) -> None:
        """All that stands has been told: who is missing has left."""
        if not feed.fresh:
            return
        self.gaps += feed.again and self._gap(feed)
        feed.fresh = False
        for proxy, told in list(self.words.items()):
            if proxy in feed.seen:
                continue
            if told % 2 == 0:
                feed.at[proxy] = told
            elif self.changed[proxy] > feed.began:
                feed.at[proxy] = told - 1  # joined since this was opened: it is on its way here too
            else:
                self._word(feed, proxy, told + 1, None)
        feed.seen = set()

    def _stands(self, feed: Feed, proxy: int, fact: Fact) -> None:
        told = self.words.get(proxy, 0)
        if told % 2:
            feed.at[proxy] = told
            if proxy in self.bound and self._gap(feed):
                if fact[2]:
                    self._word(feed, proxy, told + 2, fact)
                else:
                    self.into.strayed(proxy)
        elif told and self.changed[proxy] > feed.began:
            feed.at[proxy] = (
                told - 1
            )  # left since this was opened, by another's word, which is on its way here too
        else:
            self._word(feed, proxy, told + 1, fact)

    def _word(self, feed: Feed, proxy: int, number: int, fact: Fact | None) -> None:
        feed.at[proxy] = number
        if number <= self.words.get(proxy, 0):
            return  # another feed has told it
        self.last += 1
        self.words[proxy], self.changed[proxy] = number, self.last
        if fact is None:
            self._leave(proxy)
        else:
            self._join(proxy, fact)

    def _join(self, proxy: int, fact: Fact) -> None:
        if proxy in self.standing:
            self._leave(proxy)
        self.standing.add(proxy)
        self.into.joined(proxy, fact[0], fact[1])

    def _leave(self, proxy: int) -> None:
        if proxy in self.standing:
            self.standing.remove(proxy)
            self.bound.discard(proxy)
            self.into.left(proxy)
