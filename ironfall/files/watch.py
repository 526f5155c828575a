"""Notices of the kernel that something changed at a path, and looks at it in between, for where there are none."""

import os
from typing import Any

import gevent
from gevent.event import Event
from inotify_simple import INotify, flags

MASK = (
    flags.MOVED_TO
    | flags.MOVED_FROM
    | flags.CLOSE_WRITE
    | flags.CREATE
    | flags.DELETE
    | flags.MODIFY
    | flags.ATTRIB
)

COALESCE = 0.005


class Watch:
    """Notices only hurry a look: a look that no notice came for (network disks, a full queue) comes every `poll`."""

    def __init__(self, path: str, poll: float) -> None:
        self.path, self.poll = os.path.abspath(path), poll
        self.stir, self.drained = Event(), Event()
        self.whole = False  # the last that was noticed of the path is that a rename made it
        self.last: Any = None
        self.notices: INotify | None = None
        self.watched: dict[int, str] = {}
        self._begin()
        self.greenlet = gevent.spawn(self._run) if self.notices else None

    def _begin(self) -> None:
        # The folder that the path is in, and the path itself where it is a folder: symlinks are followed to both.
        try:
            self.notices = self.notices or INotify(nonblocking=True)
            for folder in {os.path.dirname(self.path), os.path.realpath(self.path)}:
                if os.path.isdir(folder):
                    self.watched[self.notices.add_watch(folder, MASK)] = folder
        except OSError:
            pass  # none to be had: polling finds it

    def _run(self) -> None:
        assert self.notices is not None
        while True:
            gevent.socket.wait_read(self.notices.fileno())
            self.drained.clear()
            self.stir.set()
            self.drained.wait()

    def wait(self, seconds: float) -> None:
        if self.stir.wait(min(self.poll, max(0.005, seconds))):
            gevent.sleep(
                COALESCE
            )  # a folder in which others write all the time is not looked at for each of them
        self.stir.clear()

    def look(self) -> Any:
        """What tells one state of the path from another; None where nothing is. Blocking."""
        try:
            found = os.stat(self.path)
            if not os.path.isdir(self.path):
                return ("file", found.st_ino, found.st_dev, found.st_size, found.st_mtime_ns)
            self._begin()  # it may be another folder by now
            fragments = []
            with os.scandir(self.path) as entries:
                for entry in entries:
                    about = entry.stat()
                    fragments.append((entry.name, about.st_ino, about.st_size, about.st_mtime_ns))
            return ("folder", found.st_ino, found.st_dev, sorted(fragments))
        except OSError as wrong:
            return None if isinstance(wrong, FileNotFoundError) else ("unreadable", wrong.errno)

    def renamed(self, signature: Any) -> bool:
        """Whether a rename made what was looked at just now. After the look: by then its notice has come.

        Of a folder that is so only where the folder itself, or the link to it, was put in place.
        """
        for event in self.notices.read(timeout=0) if self.notices else ():
            folder = self.watched.get(event.wd, "")
            ours = os.path.join(folder, event.name) == self.path
            if ours or folder == os.path.realpath(self.path):
                self.stir.set()  # it may tell of something later than that look
            if ours:
                self.whole = bool(event.mask & flags.MOVED_TO) or (
                    self.whole and not event.mask & flags.MODIFY
                )
        self.drained.set()
        if signature == self.last:
            return False  # one that was noticed and not yet seen counts at the next look
        self.last, whole, self.whole = signature, self.whole, False
        return whole

    def stop(self) -> None:
        if self.greenlet:
            self.greenlet.kill()
        if self.notices:
            self.notices.close()
