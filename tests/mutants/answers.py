"""Mutants of answers: relaying, resuming and the reporting of failures."""

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
    """A stream counts as complete however it ends."""
    _relay.ends_with_mark = lambda tail, end_mark: True  # type: ignore[assignment]
    _stream_resume.ends_with_mark = lambda tail, end_mark: True  # type: ignore[attr-defined]


@mutant("answers.clean_end_after_error")
def end_cleanly() -> None:
    """A broken answer is closed like a complete one."""
    original = Responder.send_error

    async def error(self: Responder, *arguments: Any, **options: Any) -> None:
        was_started = self.is_started
        await original(self, *arguments, **options)
        if was_started:
            await self.finish()

    Responder.send_error = error  # type: ignore[method-assign]


@mutant("answers.unstated_end_is_whole")
def take_unstated_end() -> None:
    """A body that is delimited by the connection's close counts as complete."""
    _relay.is_self_delimited = lambda *a, **k: True  # type: ignore[assignment]


@mutant("answers.no_resume")
def never_resume() -> None:
    """Broken streams are not resumed."""
    _stream_resume.RESUME_ATTEMPTS_MAX = 0


@mutant("answers.repeat_events")
def repeat_events() -> None:
    """Events that an engine sends again are forwarded again."""
    _stream_resume.ResumableStream._drop_seen = (  # type: ignore[method-assign]
        lambda self, events: events
    )


@mutant("answers.reuse_after_rest")
def reuse_after_rest() -> None:
    """Connections are reused with unread bytes on them."""
    _http_client._prevent_reuse_with_excess = lambda response: None


@mutant("answers.no_echo_check")
def skip_echo_check() -> None:
    """An answer that names another request is accepted."""
    _http_client._check_echo = lambda call, headers: None


@mutant("answers.any_frame_wakes")
def wake_by_any_frame() -> None:
    """A frame wakes any waiting request, whatever its id."""

    def received(self: _permit_client.PermitClient, vm: str, message: Message) -> None:
        if isinstance(message, Permit | Refusal) and self._pending:
            _, (_, channel) = self._pending.popitem()
            channel.send_nowait(message)

    _permit_client.PermitClient.on_message = received  # type: ignore[method-assign]


@mutant("answers.bytes_never_left")
def forget_bytes_left() -> None:
    """The client never records that a byte may have been sent."""
    _http_client._SEND_START_EVENTS = frozenset()


@mutant("answers.outcome_by_kind_alone")
def judge_by_kind() -> None:
    """The outcome ignores whether a byte may have been sent."""

    def outcome_of(kind: ErrorKind, *, may_have_sent: bool) -> Outcome:
        return ANSWERS[kind].outcome

    _kinds.outcome_of.__code__ = outcome_of.__code__


@mutant("answers.broken_is_unreachable")
def call_broken_unreachable() -> None:
    """Every connection failure counts as a failure to connect."""
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
    """A byte counts as sent only after the whole request was sent."""
    _http_client._SEND_START_EVENTS = frozenset(
        {"http11.receive_response_headers.complete"}
    )


@mutant("answers.no_socket_limit")
def leave_sockets_unbounded() -> None:
    """The kernel never closes a connection whose reader stopped."""
    _http_server.limit_socket_inactivity = lambda sock, *, silence_s: None  # type: ignore[attr-defined]


@mutant("answers.patient_with_senders")
def wait_for_senders() -> None:
    """The time to receive a body is not limited."""
    _http_server.BODY_TOTAL_TIMEOUT_S = _http_server.BODY_READ_TIMEOUT_S = 100_000.0
