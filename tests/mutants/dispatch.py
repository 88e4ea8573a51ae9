"""Mutants of the dispatch of requests."""

from hemlocktrestle.daemon import _dispatch
from hemlocktrestle.daemon._dispatch import Dispatcher, Progress
from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.ports import UpstreamCall
from tests.mutants import mutant


@mutant("dispatch.retry_after_send")
def retry_after_a_byte_left() -> None:
    """A request is retried after its connection broke or timed out."""
    _dispatch._RETRIED_KINDS |= {  # type: ignore[misc]
        ErrorKind.UPSTREAM_BROKEN,
        ErrorKind.UPSTREAM_SILENT,
    }
    Progress.may_have_sent = property(lambda self: False)  # type: ignore[assignment,method-assign]


@mutant("dispatch.no_retry")
def never_ask_again() -> None:
    """A request fails if its first permit fails."""
    _dispatch.DISPATCH_ATTEMPTS_MAX = 1


@mutant("dispatch.no_budget")
def retry_without_a_budget() -> None:
    """Retries of failing requests are limited by the attempts only."""
    _dispatch.RetryBudget.spend = lambda self: True  # type: ignore[method-assign]


@mutant("dispatch.no_permit_check")
def use_lapsed_permits() -> None:
    """An expired permit is used."""
    Dispatcher._check_send = lambda *_: None  # type: ignore[method-assign]


@mutant("dispatch.send_again")
def send_a_call_twice() -> None:
    """The HTTP library may send a call more than once."""

    def sending(self: UpstreamCall) -> None:
        self.check_send()
        self.may_have_sent = True

    UpstreamCall.begin_send = sending  # type: ignore[method-assign]


@mutant("dispatch.not_run_after_send")
def forget_that_bytes_left() -> None:
    """A failed call is reported as "not run" although it reached an upstream."""
    Progress.may_have_sent = property(lambda self: False)  # type: ignore[assignment,method-assign]
