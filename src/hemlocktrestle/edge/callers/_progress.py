"""Progress of one request over all its attempts."""

from hemlocktrestle.gateway import EventSequence


class RequestProgress:
    """Counters and timings of one request over all its attempts."""

    def __init__(self) -> None:
        self.request_id = ""
        self.route = ""
        self.connect_count = 0
        self.send_count = 0
        self.runs_count = 0
        self.silent_count = 0
        self.may_have_sent = False
        self.met_dead_connection = False
        self.events = EventSequence()
        self.event_count = 0
        self.first_ms = 0.0
        self.last_event_ms = 0.0
        self.longest_gap_ms = 0.0
        self.replicas: list[str] = []
        self.waited_ms = 0.0

    def record_events(self, count: int, at_ms: float) -> None:
        """Record events that were relayed to the caller."""
        if self.event_count:
            gap_ms = at_ms - self.last_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_event_ms = at_ms
        self.event_count += count
