"""The VM's links to its peers: one task per link, and dispatch of messages."""

import logging
import random
import ssl
from collections.abc import Callable

import trio

from hemlocktrestle.errors import RequestError
from hemlocktrestle.membership import Backoff, VmRecord
from hemlocktrestle.peers._link import Link, LinkEvents, accept, dial
from hemlocktrestle.peers._outgoing import frame_or_drop
from hemlocktrestle.timers import sleep_until_multiple
from hemlocktrestle.wire import Heartbeat, Hello, Message

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 0.5
"""Time between heartbeats on all links, in seconds."""

Handler = Callable[[str, Message], None]


class PeerNetwork:
    """Links to all peers.

    Each VM dials its peers.  It sends its requests to a peer on the link that it
    dialled, and the peer replies on the same link.

    Args:
        hello: the handshake message of this VM.
        heartbeat: returns the heartbeat to send.
        tls_client: TLS context for outgoing links, or ``None`` for plain links.
        peer_names: returns the DNS names in a peer's certificate, or ``None`` for a
            link without TLS.
    """

    def __init__(
        self,
        *,
        hello: Hello,
        heartbeat: Callable[[], Heartbeat],
        tls_client: ssl.SSLContext | None = None,
        peer_names: Callable[[trio.abc.Stream], frozenset[str] | None],
    ) -> None:
        self._hello = hello
        self._heartbeat = heartbeat
        self._tls_client = tls_client
        self._peer_names = peer_names
        self._dialled: dict[str, Link] = {}
        self._accepted: dict[str, Link] = {}
        self._boot_ids: dict[str, str] = {}
        self._redial_events: dict[str, trio.Event] = {}
        self._dialers: dict[str, tuple[str, trio.CancelScope]] = {}
        self._nursery: trio.Nursery | None = None
        self._handlers: dict[type, Handler] = {}
        # The last logged reason by peer: repeated failures to dial are logged once.
        self._last_end_reasons: dict[str, tuple[str, str]] = {}
        self._on_opened: list[Callable[[str], None]] = []
        self._on_dialled_closed: list[Callable[[str], None]] = []
        self._on_accepted_closed: list[Callable[[str], None]] = []

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Register the handler for a message type; it must not block."""
        self._handlers[message_type] = handler

    def on_opened(self, callback: Callable[[str], None]) -> None:
        """Register a callback for each link that is opened, by either VM."""
        self._on_opened.append(callback)

    def on_dialled_closed(self, callback: Callable[[str], None]) -> None:
        """Register a callback for the end of a link that this VM dialled."""
        self._on_dialled_closed.append(callback)

    def on_accepted_closed(self, callback: Callable[[str], None]) -> None:
        """Register a callback for the end of a link that a peer dialled."""
        self._on_accepted_closed.append(callback)

    def broadcast(
        self,
        message: Message,
        *,
        skip: str = "",
        to: Callable[[str], bool] | None = None,
    ) -> None:
        """Send a message to linked VMs, on one link each.

        Args:
            message: the message.
            skip: a VM that does not get it.
            to: tells which VMs get it; all by default.
        """
        links = {**self._accepted, **self._dialled}
        frame = frame_or_drop(message, peer="")
        for vm, link in links.items():
            if frame and vm != skip and (to is None or to(vm)):
                link.post(frame)

    def send(self, vm: str, message: Message) -> bool:
        """Send a message to a peer or to this VM; ``False`` if there is no link."""
        return self._post(self._dialled, vm, message)

    def reply(self, vm: str, message: Message) -> bool:
        """Reply to a peer on the link that it dialled; ``False`` if it has closed."""
        return self._post(self._accepted, vm, message)

    async def run(self) -> None:
        """Dial the peers and send heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self.send_heartbeats()
                await sleep_until_multiple(HEARTBEAT_INTERVAL_S)

    def send_heartbeats(self) -> None:
        """Send the same heartbeat on every link now."""
        links = (*self._dialled.values(), *self._accepted.values())
        if not links:
            return
        frame = frame_or_drop(self._heartbeat(), peer="")
        for link in links if frame else ():
            link.post(frame)

    @property
    def is_flushed(self) -> bool:
        """Whether every queued message has been sent."""
        return all(
            link.is_flushed
            for link in (*self._dialled.values(), *self._accepted.values())
        )

    def sync_peers(self, peers: tuple[VmRecord, ...]) -> None:
        """Start a dial task for each new peer and stop those of removed peers."""
        if self._nursery is None:
            return
        wanted = {record.name: record.address for record in peers}
        for name, (address, scope) in list(self._dialers.items()):
            if wanted.get(name) != address:
                scope.cancel()
                del self._dialers[name]
        for name, address in wanted.items():
            if name not in self._dialers:
                scope = trio.CancelScope()
                self._dialers[name] = (address, scope)
                self._nursery.start_soon(
                    self._dial_until_cancelled, name, address, scope
                )

    async def accept(self, stream: trio.abc.Stream) -> None:
        """Run a link that a peer opened."""
        events = LinkEvents(self._add_accepted, self._received, self._remove_accepted)
        try:
            await accept(
                stream,
                hello=self._hello,
                events=events,
                peer_names=self._peer_names,
            )
        except* RequestError as errors:
            self._log_end("accepted", errors)

    async def _dial_until_cancelled(
        self, name: str, address: str, scope: trio.CancelScope
    ) -> None:
        backoff = Backoff(random.Random(f"{self._hello.boot_id}/{name}"))

        def opened(peer: Hello, link: Link) -> None:
            backoff.reset()
            self._add_dialled(peer, link)

        events = LinkEvents(opened, self._received, self._remove_dialled)
        with scope:
            while True:
                try:
                    await dial(
                        address,
                        name,
                        hello=self._hello,
                        events=events,
                        tls=self._tls_client,
                    )
                except* RequestError as errors:
                    self._log_end(name, errors)
                # An incoming link shows that the peer is up: it ends the back-off.
                self._redial_events[name] = trio.Event()
                with trio.move_on_after(backoff.next_s()):
                    await self._redial_events[name].wait()

    def _post(self, links: dict[str, Link], vm: str, message: Message) -> bool:
        if vm == self._hello.vm:
            self._received(vm, message)
            return True
        link = links.get(vm)
        return link is not None and link.post(message)

    def _received(self, vm: str, message: Message) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(vm, message)

    def _add_dialled(self, peer: Hello, link: Link) -> None:
        self._dialled[peer.vm] = link
        link.post(self._heartbeat())
        self._last_end_reasons.pop(peer.vm, None)
        log.info("link_opened", extra={"peer": peer.vm})
        self._notify(self._on_opened, peer.vm)

    def _add_accepted(self, peer: Hello, link: Link) -> None:
        if self._boot_ids.get(peer.vm, peer.boot_id) != peer.boot_id:
            self._notify(self._on_accepted_closed, peer.vm)
        self._boot_ids[peer.vm] = peer.boot_id
        self._accepted[peer.vm] = link
        link.post(self._heartbeat())
        self._notify(self._on_opened, peer.vm)
        redial = self._redial_events.get(peer.vm)
        if redial is not None:
            redial.set()

    def _remove_dialled(self, vm: str, link: Link) -> None:
        if self._dialled.get(vm) is link:
            del self._dialled[vm]
            self._notify(self._on_dialled_closed, vm)

    def _remove_accepted(self, vm: str, link: Link) -> None:
        if self._accepted.get(vm) is link:
            del self._accepted[vm]
            self._notify(self._on_accepted_closed, vm)

    def _notify(self, callbacks: list[Callable[[str], None]], vm: str) -> None:
        for callback in callbacks:
            callback(vm)

    def _log_end(self, peer: str, errors: BaseExceptionGroup[RequestError]) -> None:
        for error in _leaves(errors):
            end_reason = (error.kind.value, error.message)
            if self._last_end_reasons.get(peer) == end_reason:
                continue
            self._last_end_reasons[peer] = end_reason
            log.warning(
                "link_ended",
                extra={
                    "peer": peer,
                    "error_kind": error.kind.value,
                    "reason": error.message,
                },
            )


def _leaves(errors: BaseExceptionGroup[RequestError]) -> list[RequestError]:
    found: list[RequestError] = []
    for error in errors.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found += _leaves(error)
        else:
            found.append(error)
    return found
