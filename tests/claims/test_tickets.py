"""Tests of tickets."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.claims import FRESH, TICKET_MS, TicketTable, is_ticket, parse_ticket


def table_of(boot_id: str = "b1", *, used_count_max: int = 100) -> TicketTable:
    """Return the table of one boot of a VM."""
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
    """A table vouches for a ticket once, and only for its own."""

    def setUp(self) -> None:
        """Issue one ticket."""
        super().setUp()
        self.table = table_of()
        self.ticket = self.table.issue("clinics", 0)

    def open(self, **changed: object) -> str:
        """Open the ticket, with changed options."""
        options: dict[str, object] = {
            "customer": "clinics",
            "ticket": self.ticket,
            "fingerprint": "f",
            "request_id": "r1",
            "now_ms": 0,
        }
        return self.table.open(**{**options, **changed})  # type: ignore[arg-type]

    def close(self, outcome: str, request_id: str = "r1") -> None:
        """Tell how the request ended."""
        self.table.close(
            customer="clinics",
            ticket=self.ticket,
            request_id=request_id,
            outcome=outcome,
        )

    def test_a_ticket_names_zone_vm_and_boot(self) -> None:
        """A holder reads from it whom to ask."""
        name = parse_ticket(self.ticket)
        assert name is not None
        self.assertEqual(("z1", "v1", "b1"), name[:3])
        self.assertTrue(is_ticket(self.ticket))

    def test_a_used_ticket_is_in_progress_then_answer_not_kept(self) -> None:
        """A resend learns how far the first sending has come."""
        self.assertEqual(FRESH, self.open())
        self.assertEqual("key_in_progress", self.open(request_id="r2"))
        self.close("complete")
        self.assertEqual("answer_not_kept", self.open(request_id="r3"))

    def test_a_doubled_question_gets_the_same_verdict(self) -> None:
        """The same request may ask twice while it holds the ticket."""
        self.assertEqual([FRESH, FRESH], [self.open(), self.open()])

    def test_another_body_is_told_so(self) -> None:
        """The ticket stands for one piece of work."""
        self.open()
        self.assertEqual("key_reused", self.open(request_id="r2", fingerprint="g"))

    def test_another_customer_cannot_use_it(self) -> None:
        """Neither a fresh nor a used ticket tells a stranger anything."""
        self.assertEqual("key_unvouched", self.open(customer="schools"))
        self.open()
        self.assertEqual("key_unvouched", self.open(customer="schools"))

    def test_an_expired_ticket_is_unvouched(self) -> None:
        """Also one that was used before, and is forgotten now."""
        self.open()
        self.assertEqual("key_unvouched", self.open(now_ms=TICKET_MS))

    def test_another_boot_does_not_vouch(self) -> None:
        """A VM that was started again knows nothing of what ran before."""
        self.table = table_of("b2")
        self.assertEqual("key_unvouched", self.open())

    def test_not_run_frees_it_for_any_body(self) -> None:
        """Nothing ran under it, so it is as good as new."""
        self.open()
        self.close("not-run")
        self.assertEqual(FRESH, self.open(request_id="r2", fingerprint="g"))

    def test_a_late_notice_of_an_earlier_request_frees_nothing(self) -> None:
        """The notice names the request; one of another request is passed over."""
        self.open()
        self.close("not-run")
        self.open(request_id="r2")
        self.close("not-run", "r1")
        self.assertEqual("key_in_progress", self.open(request_id="r3"))

    def test_a_doubled_notice_cannot_free_a_ticket_that_ran(self) -> None:
        """The first notice counts."""
        self.open()
        self.close("unknown")
        self.close("not-run")
        self.assertEqual("key_unvouched", self.open(request_id="r2"))

    def test_a_full_table_vouches_for_no_new_ticket(self) -> None:
        """It does not forget a used one to make room, until that has expired."""
        self.table = table_of(used_count_max=1)
        self.table.issue("clinics", 0)
        self.open()
        fresh = self.table.issue("clinics", 1_000)
        full = self.open(ticket=fresh, request_id="r2", now_ms=2_000)
        self.assertEqual("claim_unavailable", full)
        later_ms = TICKET_MS + 1
        verdict = self.open(ticket=fresh, request_id="r2", now_ms=later_ms)
        self.assertEqual((FRESH, 1), (verdict, self.table.used_count))

    @given(text=st.text(max_size=80))
    def test_no_text_passes_for_a_ticket(self, text: str) -> None:
        """Whatever a caller sends, it is unvouched and no failure."""
        for ticket in (text, f"tkt1:{text}", self.ticket + text + "0"):
            self.assertEqual("key_unvouched", self.open(ticket=ticket))
