"""Mutants of answers: relaying, resuming, and what is told of failures."""

from typing import Any

import httpcore

from hemlocktrestle.adapters import Responder, _http_client, _http_server
from hemlocktrestle.daemon import _relay, _stream_resume
from hemlocktrestle.errors import ANSWERS, ErrorKind, Outcome, _kinds
from hemlocktrestle.peers import _permit_client
from hemlocktrestle.wire import Message, Permit, Refusal
from tests.mutants import mutant


@mutant("answers.any_end_is_whole")
def take_any_end() -> None:
    """A stream counts as whole however it ends."""
    _relay.ends_with_mark = lambda tail, end_mark: True  # type: ignore[assignment]
    _stream_resume.ends_with_mark = lambda tail, end_mark: True  # type: ignore[attr-defined]


@mutant("answers.clean_end_after_error")
def end_cleanly() -> None:
    """A broken answer is closed like a whole one."""
    original = Responder.send_error

    async def error(self: Responder, *arguments: Any, **options: Any) -> None:
        was_started = self.is_started
        await original(self, *arguments, **options)
        if was_started:
            await self.finish()

    Responder.send_error = error  # type: ignore[method-assign]


@mutant("answers.unstated_end_is_whole")
def take_unstated_end() -> None:
    """A body that lasts until the close counts as whole."""
    _relay.is_self_delimited = lambda *a, **k: True  # type: ignore[assignment]


@mutant("answers.no_resume")
def never_resume() -> None:
    """Broken streams are not carried on."""
    _stream_resume.RESUME_ATTEMPTS_MAX = 0


@mutant("answers.repeat_events")
def repeat_events() -> None:
    """Events that an engine sends again are passed on again."""
    _stream_resume.ResumableStream._drop_seen = (  # type: ignore[method-assign]
        lambda self, events: events
    )


@mutant("answers.reuse_after_rest")
def reuse_after_rest() -> None:
    """Connections are used again with bytes left on them."""
    _http_client._prevent_reuse_with_excess = lambda response: None


@mutant("answers.no_echo_check")
def skip_echo_check() -> None:
    """An answer that names another request is taken."""
    _http_client._check_echo = lambda call, headers: None


@mutant("answers.any_frame_wakes")
def wake_by_any_frame() -> None:
    """A frame wakes whichever request waits, whatever its id."""

    def received(self: _permit_client.PermitClient, vm: str, message: Message) -> None:
        if isinstance(message, Permit | Refusal) and self._pending:
            _, (_, channel) = self._pending.popitem()
            channel.send_nowait(message)

    _permit_client.PermitClient.on_message = received  # type: ignore[method-assign]


@mutant("answers.bytes_never_left")
def forget_bytes_left() -> None:
    """The client never notes that a byte may have left."""
    _http_client._SEND_START_EVENTS = frozenset()


@mutant("answers.outcome_by_kind_alone")
def judge_by_kind() -> None:
    """The outcome ignores whether a byte may have left."""

    def outcome_of(kind: ErrorKind, *, may_have_sent: bool) -> Outcome:
        return ANSWERS[kind].outcome

    _kinds.outcome_of.__code__ = outcome_of.__code__


@mutant("answers.broken_is_unreachable")
def call_broken_unreachable() -> None:
    """Every failure of a connection counts as one that did not connect."""
    _http_client._NOT_SENT = (  # type: ignore[assignment]
        httpcore.NetworkError,
        httpcore.ProtocolError,
    )
    _http_client._SEND_START_EVENTS = frozenset()


@mutant("answers.table_says_not_run")
def say_not_run() -> None:
    """The table says "not-run" for a break of the connection."""
    answer = ANSWERS[ErrorKind.UPSTREAM_BROKEN]
    ANSWERS[ErrorKind.UPSTREAM_BROKEN] = answer._replace(outcome=Outcome.NOT_RUN)


@mutant("answers.mark_after_sending")
def mark_late() -> None:
    """The mark is set only once the whole request was sent."""
    _http_client._SEND_START_EVENTS = frozenset(
        {"http11.receive_response_headers.complete"}
    )


@mutant("answers.no_socket_limit")
def leave_sockets_unbounded() -> None:
    """The kernel never ends a connection whose reader stopped."""
    _http_server.limit_socket_inactivity = lambda sock, *, silence_s: None  # type: ignore[attr-defined]


@mutant("answers.patient_with_senders")
def wait_for_senders() -> None:
    """A body may take as long as it likes."""
    _http_server.BODY_TOTAL_TIMEOUT_S = _http_server.BODY_READ_TIMEOUT_S = 100_000.0
