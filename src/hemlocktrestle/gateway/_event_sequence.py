"""Checks that the events of a stream follow each other, across several answers."""

from collections.abc import Iterable

from hemlocktrestle.gateway._events import StreamEvent, is_comment

CONSECUTIVE_EVENTS_MIN = 2
"""Events after which a stream whose ids had no gap is expected to have none."""

ID_DIGITS_MAX = 18
"""Most digits of an id that counts as a number.

Python converts no text of more than 4,300 digits.
"""


class EventSequence:
    """The events of one stream that the caller has, in order and once.

    Args:
        last_id: id of the event that the caller got last, empty if none.
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._first_id = last_id
        self._event_count = 0
        self._is_consecutive = True
        self._is_joining = False

    def start_answer(self) -> None:
        """Expect the next event from another answer than the one before."""
        self._is_joining = bool(self.last_id)

    def take(self, events: Iterable[StreamEvent]) -> list[StreamEvent]:
        """Record and return the leading events that follow the ones before them."""
        taken = []
        for event in events:
            if not self.follows(event):
                break
            if event.event_id:
                self._record(event.event_id)
            taken.append(event)
        return taken

    def follows(self, event: StreamEvent) -> bool:
        """Tell whether an event may be relayed next.

        Ids increase.  Where they have been consecutive, the first event of another
        answer has the next id; otherwise one would be missing in between.
        """
        if not event.event_id:
            return is_comment(event.data)
        step = self._step_to(event.event_id)
        has_no_gaps = (
            self._is_consecutive and self._event_count >= CONSECUTIVE_EVENTS_MIN
        )
        return step == 1 or (step > 1 and not (self._is_joining and has_no_gaps))

    def _record(self, event_id: str) -> None:
        self._is_consecutive &= self._step_to(event_id) == 1
        self._first_id = self._first_id or event_id
        self._is_joining = False
        self._event_count += 1
        self.last_id = event_id

    def _step_to(self, event_id: str) -> int:
        """Return how far an id is after the last one; 0 or less if it is not.

        Ids that are no numbers are one step apart, but for the first and the last one.
        """
        if not self.last_id:
            return 1
        if _is_number(self.last_id) and _is_number(event_id):
            return int(event_id) - int(self.last_id)
        return int(event_id not in {self._first_id, self.last_id})


def _is_number(event_id: str) -> bool:
    return event_id.isdecimal() and len(event_id) <= ID_DIGITS_MAX
