"""Tests of issuing, opening and closing tickets."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.claims import (
    FRESH,
    TICKET_LIFETIME_MS,
    TicketTable,
    is_ticket,
    parse_ticket,
)


def table_of(boot_id: str = "b1", *, used_count_max: int = 100) -> TicketTable:
    """Return the ticket table of one boot of a VM."""
    ids = itertools.count()
    return TicketTable(
        zone="z1",
        vm="v1",
        boot_id=boot_id,
        secret=boot_id.encode(),
        new_id=lambda: f"n{next(ids)}",
        used_count_max=used_count_max,
    )


class TicketTableTests(TestCase):
    """A table lets one request run under each ticket, and only under its own."""

    def setUp(self) -> None:
        """Issue one ticket."""
        super().setUp()
        self.table = table_of()
        self.ticket = self.table.issue("clinics", 0)

    def open(self, **changed: object) -> str:
        """Open the ticket with some arguments replaced."""
        options: dict[str, object] = {
            "customer": "clinics",
            "ticket": self.ticket,
            "fingerprint": "f",
            "request_id": "r1",
            "now_ms": 0,
        }
        return self.table.open(**{**options, **changed})  # type: ignore[arg-type]

    def close(self, outcome: str, request_id: str = "r1") -> None:
        """Report how the request ended."""
        self.table.close(
            customer="clinics",
            ticket=self.ticket,
            request_id=request_id,
            outcome=outcome,
        )

    def test_a_ticket_names_zone_vm_and_boot(self) -> None:
        """The requesting VM reads the issuer from the ticket."""
        name = parse_ticket(self.ticket)
        assert name is not None
        self.assertEqual(("z1", "v1", "b1"), name[:3])
        self.assertTrue(is_ticket(self.ticket))

    def test_a_used_ticket_is_in_progress_then_answer_not_kept(self) -> None:
        """A resend gets the progress of the first request."""
        self.assertEqual(FRESH, self.open())
        self.assertEqual("key_in_progress", self.open(request_id="r2"))
        self.close("complete")
        self.assertEqual("answer_not_kept", self.open(request_id="r3"))

    def test_a_doubled_question_gets_the_same_verdict(self) -> None:
        """The same request may ask again while it uses the ticket."""
        self.assertEqual([FRESH, FRESH], [self.open(), self.open()])

    def test_a_ticket_with_another_fingerprint_is_refused(self) -> None:
        """A ticket with another fingerprint is refused as reused."""
        self.open()
        self.assertEqual("key_reused", self.open(request_id="r2", fingerprint="g"))

    def test_another_customer_cannot_use_it(self) -> None:
        """Another customer gets the same error for a fresh and a used ticket."""
        self.assertEqual("key_unvouched", self.open(customer="schools"))
        self.open()
        self.assertEqual("key_unvouched", self.open(customer="schools"))

    def test_an_expired_ticket_is_unvouched(self) -> None:
        """This includes a ticket that was used before it expired."""
        self.open()
        self.assertEqual("key_unvouched", self.open(now_ms=TICKET_LIFETIME_MS))

    def test_another_boot_does_not_vouch(self) -> None:
        """A restarted VM does not know what ran under earlier tickets."""
        self.table = table_of("b2")
        self.assertEqual("key_unvouched", self.open())

    def test_not_run_frees_it_for_any_body(self) -> None:
        """After "not-run" any request may use the ticket."""
        self.open()
        self.close("not-run")
        self.assertEqual(FRESH, self.open(request_id="r2", fingerprint="g"))

    def test_a_late_notice_of_an_earlier_request_frees_nothing(self) -> None:
        """A notice that names another request is ignored."""
        self.open()
        self.close("not-run")
        self.open(request_id="r2")
        self.close("not-run", "r1")
        self.assertEqual("key_in_progress", self.open(request_id="r3"))

    def test_a_doubled_notice_cannot_free_a_ticket_that_ran(self) -> None:
        """Only the first notice counts."""
        self.open()
        self.close("unknown")
        self.close("not-run")
        self.assertEqual("key_unvouched", self.open(request_id="r2"))

    def test_a_full_table_vouches_for_no_new_ticket(self) -> None:
        """A used ticket is not evicted before it expires, even if the table is full."""
        self.table = table_of(used_count_max=1)
        self.table.issue("clinics", 0)
        self.open()
        fresh = self.table.issue("clinics", 1_000)
        full = self.open(ticket=fresh, request_id="r2", now_ms=2_000)
        self.assertEqual("claim_unavailable", full)
        later_ms = TICKET_LIFETIME_MS + 1
        verdict = self.open(ticket=fresh, request_id="r2", now_ms=later_ms)
        self.assertEqual((FRESH, 1), (verdict, self.table.used_count))

    @given(text=st.text(max_size=80))
    def test_no_text_passes_for_a_ticket(self, text: str) -> None:
        """Malformed and forged tickets are unvouched and raise no exception."""
        for ticket in (text, f"tkt1:{text}", self.ticket + text + "0"):
            self.assertEqual("key_unvouched", self.open(ticket=ticket))
