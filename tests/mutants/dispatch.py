"""Mutants of the dispatch of requests."""

from hemlocktrestle.daemon import _dispatch
from hemlocktrestle.daemon._dispatch import Dispatcher, Progress
from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.ports import UpstreamCall
from tests.mutants import mutant


@mutant("dispatch.retry_after_send")
def retry_after_a_byte_left() -> None:
    """A request whose connection broke or fell silent is sent again."""
    _dispatch._RETRIED_KINDS |= {  # type: ignore[misc]
        ErrorKind.UPSTREAM_BROKEN,
        ErrorKind.UPSTREAM_SILENT,
    }
    Progress.may_have_sent = property(lambda self: False)  # type: ignore[assignment,method-assign]


@mutant("dispatch.no_retry")
def never_ask_again() -> None:
    """A request fails with its first permit."""
    _dispatch.DISPATCH_ATTEMPTS_MAX = 1


@mutant("dispatch.no_budget")
def retry_without_a_budget() -> None:
    """Every failing request uses up all its attempts."""
    _dispatch.RetryBudget.spend = lambda self: True  # type: ignore[method-assign]


@mutant("dispatch.no_permit_check")
def use_lapsed_permits() -> None:
    """A permit is used however late its holder gets to it."""
    Dispatcher._check_send = lambda *_: None  # type: ignore[method-assign]


@mutant("dispatch.send_again")
def send_a_call_twice() -> None:
    """A call may be sent as often as the library likes."""

    def sending(self: UpstreamCall) -> None:
        self.check_send()
        self.may_have_sent = True

    UpstreamCall.begin_send = sending  # type: ignore[method-assign]


@mutant("dispatch.not_run_after_send")
def forget_that_bytes_left() -> None:
    """A failed call is told "not run" although it reached an upstream."""
    Progress.may_have_sent = property(lambda self: False)  # type: ignore[assignment,method-assign]
