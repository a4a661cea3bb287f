"""The thread that reads and writes all links of a process.

A link has no thread of its own. The loop sends what other threads queue,
sends heartbeats on links that are otherwise idle, and ends links whose peer
is silent.
"""

from collections import deque
import heapq
import itertools
import os
import selectors
import threading
import time
import traceback
from typing import Final
from typing import Protocol

from baobabgap.telemetry import log_event

# Seconds by which a link may be visited early, so that one wake serves
# several links.
_COALESCING_S: Final = 0.004
# Seconds after which the loop goes on after an unexpected error.
_ERROR_PAUSE_S: Final = 0.05
_WAKEUP_BYTES: Final = 4096


class LoopedLink(Protocol):
    """What the loop needs of a link; it alone calls these methods."""

    def fileno(self) -> int:
        """Return the file descriptor, or -1 once it is closed."""

    def wanted_events(self) -> int:
        """Return the selector's events to wait for, 0 for none."""

    def handle_readable(self, now: float) -> None:
        """Process what has arrived."""

    def handle_due(self, now: float) -> float | None:
        """Do what is due by time.

        Returns the time of the next call, or None if the link has ended and
        is to be forgotten.
        """

    def flush(self, now: float) -> None:
        """Send what is queued, as far as the peer accepts it."""

    def fail(self, reason: str) -> None:
        """End the link because of an unexpected error."""


class LinkLoop:
    """Serves links in one daemon thread, which starts with the first link."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._thread: threading.Thread | None = None
        self._selector = selectors.DefaultSelector()
        self._wakeup_reader, self._wakeup_writer = os.pipe()
        os.set_blocking(self._wakeup_reader, False)
        os.set_blocking(self._wakeup_writer, False)
        self._selector.register(self._wakeup_reader, selectors.EVENT_READ)
        self._is_woken = False
        # Links to visit, from any thread.
        self._requested: deque[LoopedLink] = deque()
        # Links by the time of their next visit; the number breaks ties.
        self._due: list[tuple[float, int, LoopedLink]] = []
        self._numbers = itertools.count()
        # Descriptors by link, as registered with the selector, and the events.
        self._registration_by_link: dict[LoopedLink, tuple[int, int]] = {}

    def request_visit(self, link: LoopedLink) -> None:
        """Have a new link served, or a known one flushed; never blocks."""
        self._requested.append(link)
        if self._is_woken:
            return
        self._is_woken = True
        if self._thread is None:
            self._start()
        try:
            os.write(self._wakeup_writer, b'\0')
        except BlockingIOError:
            # The pipe is full, so that the loop wakes up anyway.
            pass

    def _start(self) -> None:
        with self._lock:
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run, name='links', daemon=True
                )
                self._thread.start()

    def _run(self) -> None:
        while True:
            try:
                self._run_once()
            except Exception as error:
                log_event(
                    'link_loop_failed',
                    error=repr(error),
                    trace=traceback.format_exc(limit=-4),
                )
                time.sleep(_ERROR_PAUSE_S)

    def _run_once(self) -> None:
        ready = self._selector.select(self._pause_s())
        now = time.monotonic()
        for key, events in ready:
            if key.data is None:
                self._clear_wakeup()
            else:
                self._handle_ready(key.data, events, now)
        while self._requested:
            self._visit(self._requested.popleft(), now)
        due_until = now + _COALESCING_S
        while self._due and self._due[0][0] <= due_until:
            self._visit_due(heapq.heappop(self._due)[2], due_until)

    def _pause_s(self) -> float | None:
        if self._requested:
            return 0.0
        if not self._due:
            return None
        return max(0.0, self._due[0][0] - time.monotonic())

    def _clear_wakeup(self) -> None:
        try:
            os.read(self._wakeup_reader, _WAKEUP_BYTES)
        except BlockingIOError:
            pass
        # After the read, which would otherwise take the byte of a request
        # that comes in between, so that no later one wakes the loop.
        self._is_woken = False

    def _handle_ready(self, link: LoopedLink, events: int, now: float) -> None:
        try:
            if events & selectors.EVENT_READ:
                link.handle_readable(now)
            if events & selectors.EVENT_WRITE:
                link.flush(now)
            self._update_registration(link)
        except Exception as error:
            self._fail(link, error)

    def _visit(self, link: LoopedLink, now: float) -> None:
        if link in self._registration_by_link:
            try:
                link.flush(now)
                self._update_registration(link)
            except Exception as error:
                self._fail(link, error)
        elif link.fileno() >= 0:
            self._registration_by_link[link] = (-1, 0)
            self._visit_due(link, now)

    def _visit_due(self, link: LoopedLink, now: float) -> None:
        try:
            due_at = link.handle_due(now)
            self._update_registration(link)
        except Exception as error:
            self._fail(link, error)
            due_at = now + _ERROR_PAUSE_S
        if due_at is None:
            self._forget(link)
            return
        heapq.heappush(self._due, (due_at, next(self._numbers), link))

    def _fail(self, link: LoopedLink, error: Exception) -> None:
        log_event(
            'link_failed',
            error=repr(error),
            trace=traceback.format_exc(limit=-4),
        )
        link.fail(repr(error))
        self._update_registration(link)

    def _update_registration(self, link: LoopedLink) -> None:
        known_fd, known_events = self._registration_by_link.get(link, (-1, 0))
        fd, events = link.fileno(), link.wanted_events()
        if fd < 0:
            events = 0
        if events == known_events:
            return
        if not events:
            self._selector.unregister(known_fd)
        elif known_events:
            self._selector.modify(fd, events, link)
        else:
            self._selector.register(fd, events, link)
        self._registration_by_link[link] = (fd, events)

    def _forget(self, link: LoopedLink) -> None:
        self._registration_by_link.pop(link, None)


# All links of a process share one loop.
PROCESS_LOOP: Final = LinkLoop()
