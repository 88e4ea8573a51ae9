"""Which listeners and links of a VM speak TLS, by its settings."""

import trio

from hemlocktrestle.adapters import TlsContexts, TlsFiles
from hemlocktrestle.daemon._vm_settings import SecuritySection


class Security:
    """The TLS contexts of one VM; a part that is set to plain has none.

    Args:
        section: the security settings, checked.

    Raises:
        RequestError: ``SETTINGS_INVALID`` if a certificate file is not usable.
    """

    def __init__(self, section: SecuritySection) -> None:
        self._section = section
        self._contexts: TlsContexts | None = None
        if not (self.peers_plain and self.callers_plain):
            files = TlsFiles(
                section["ca_file"], section["certificate_file"], section["key_file"]
            )
            self._contexts = TlsContexts(files)
        contexts = self._contexts
        has_peers = contexts is not None and not self.peers_plain
        has_public = contexts is not None and not self.callers_plain
        self.peer_client = contexts.peer_client if contexts and has_peers else None
        self._peer_server = contexts.peer_server if contexts and has_peers else None
        self.public_server = contexts.public_server if contexts and has_public else None

    @property
    def peers_plain(self) -> bool:
        """Whether links between VMs carry no TLS."""
        return self._section.get("peers_plain", False)

    @property
    def callers_plain(self) -> bool:
        """Whether callers and operators are served without TLS."""
        return self._section.get("callers_plain", False)

    def peer_listener(
        self, listener: trio.SocketListener
    ) -> trio.abc.Listener[trio.abc.Stream]:
        """Return the listener for peers, which asks for their certificates."""
        if self._peer_server is None:
            return listener
        return trio.SSLListener(listener, self._peer_server)

    async def follow(self) -> None:
        """Take in new certificate files until cancelled."""
        if self._contexts is not None:
            await self._contexts.reload_on_change()
