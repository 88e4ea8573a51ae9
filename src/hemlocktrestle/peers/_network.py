"""The VM's links to its peers: a task for each link, and routing of messages."""

import logging
import random
import ssl
from collections.abc import Callable

import trio

from hemlocktrestle.errors import RequestError
from hemlocktrestle.membership import Backoff, VmRecord
from hemlocktrestle.peers._link import Link, LinkEvents, accept, dial
from hemlocktrestle.wire import Heartbeat, Hello, Message

log = logging.getLogger(__name__)

Handler = Callable[[str, Message], None]


class PeerNetwork:
    """Links to all peers.

    Each VM dials every peer.  What it asks of a peer goes out on the link that it
    dialled, and the peer's answers come back on the same link.

    Args:
        hello: this VM's greeting.
        heartbeat: returns the heartbeat to send.
        tls_client: context for links that it dials, or ``None`` for plain links.
        peer_names: names that a link's certificate vouches for, or ``None``.
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
        self._wakers: dict[str, trio.Event] = {}
        self._dialers: dict[str, tuple[str, trio.CancelScope]] = {}
        self._nursery: trio.Nursery | None = None
        self._handlers: dict[type, Handler] = {}
        # The last reason for each peer, so that redialling does not fill the log.
        self._last_ends: dict[str, tuple[str, str]] = {}
        self._on_opened: list[Callable[[str], list[Message]]] = []
        self._on_dialled_closed: list[Callable[[str], None]] = []
        self._on_accepted_closed: list[Callable[[str], None]] = []

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Give messages of a type to a handler, which returns at once."""
        self._handlers[message_type] = handler

    def on_dialled_closed(self, callback: Callable[[str], None]) -> None:
        """Call back when a link that this VM dialled ends."""
        self._on_dialled_closed.append(callback)

    def on_accepted_closed(self, callback: Callable[[str], None]) -> None:
        """Call back when a link that a peer dialled ends."""
        self._on_accepted_closed.append(callback)

    def on_opened(self, callback: Callable[[str], list[Message]]) -> None:
        """Send what a callback returns on each link that opens, first of all."""
        self._on_opened.append(callback)

    def broadcast(self, message: Message, *, skip: str = "") -> None:
        """Send a message on one link to each VM but one."""
        links = {**self._accepted, **self._dialled}
        for vm, link in links.items():
            if vm != skip:
                link.post(message)

    def send(self, vm: str, message: Message) -> bool:
        """Send a message to a peer or to this VM itself; ``False`` if it cannot."""
        return self._post(self._dialled, vm, message)

    def reply(self, vm: str, message: Message) -> bool:
        """Answer a peer on the link that it dialled; ``False`` if it is gone."""
        return self._post(self._accepted, vm, message)

    async def run(self) -> None:
        """Own the dialers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every link now."""
        heartbeat = self._heartbeat()
        for link in (*self._dialled.values(), *self._accepted.values()):
            link.post(heartbeat)

    @property
    def is_flushed(self) -> bool:
        """Whether every queued message has been sent."""
        return all(
            link.is_flushed
            for link in (*self._dialled.values(), *self._accepted.values())
        )

    def sync_peers(self, peers: tuple[VmRecord, ...]) -> None:
        """Start a dialer for each new peer and stop those of peers that left."""
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
                self._nursery.start_soon(self._keep_dialling, name, address, scope)

    async def accept(self, stream: trio.abc.Stream) -> None:
        """Run a link that a peer opened."""
        events = LinkEvents(self._accepted_opened, self._received, self._accepted_gone)
        try:
            await accept(
                stream,
                hello=self._hello,
                heartbeat=self._heartbeat,
                events=events,
                peer_names=self._peer_names,
            )
        except* RequestError as errors:
            self._log_end("accepted", errors)

    async def _keep_dialling(
        self, name: str, address: str, scope: trio.CancelScope
    ) -> None:
        backoff = Backoff(random.Random(f"{self._hello.boot_id}/{name}"))

        def opened(peer: Hello, link: Link) -> None:
            backoff.reset()
            self._dialled_opened(peer, link)

        events = LinkEvents(opened, self._received, self._dialled_gone)
        with scope:
            while True:
                try:
                    await dial(
                        address,
                        name,
                        hello=self._hello,
                        heartbeat=self._heartbeat,
                        events=events,
                        tls=self._tls_client,
                    )
                except* RequestError as errors:
                    self._log_end(name, errors)
                # A peer that has just dialled this VM can be dialled again at once.
                self._wakers[name] = trio.Event()
                with trio.move_on_after(backoff.next_s()):
                    await self._wakers[name].wait()

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

    def _dialled_opened(self, peer: Hello, link: Link) -> None:
        self._dialled[peer.vm] = link
        self._greet(peer.vm, link)
        self._last_ends.pop(peer.vm, None)
        log.info("link_opened", extra={"peer": peer.vm})

    def _accepted_opened(self, peer: Hello, link: Link) -> None:
        if self._boot_ids.get(peer.vm, peer.boot_id) != peer.boot_id:
            self._tell(self._on_accepted_closed, peer.vm)
        self._boot_ids[peer.vm] = peer.boot_id
        self._accepted[peer.vm] = link
        self._greet(peer.vm, link)
        waker = self._wakers.get(peer.vm)
        if waker is not None:
            waker.set()

    def _greet(self, vm: str, link: Link) -> None:
        for callback in self._on_opened:
            for message in callback(vm):
                link.post(message)

    def _dialled_gone(self, vm: str, link: Link) -> None:
        if self._dialled.get(vm) is link:
            del self._dialled[vm]
            self._tell(self._on_dialled_closed, vm)

    def _accepted_gone(self, vm: str, link: Link) -> None:
        if self._accepted.get(vm) is link:
            del self._accepted[vm]
            self._tell(self._on_accepted_closed, vm)

    def _tell(self, callbacks: list[Callable[[str], None]], vm: str) -> None:
        for callback in callbacks:
            callback(vm)

    def _log_end(self, peer: str, errors: BaseExceptionGroup[RequestError]) -> None:
        for error in _leaves(errors):
            told = (error.kind.value, error.message)
            if self._last_ends.get(peer) == told:
                continue
            self._last_ends[peer] = told
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
