"""Tests of TLS from certificate files."""

import os
import ssl
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

import trio
import trustme
from testtools import ExpectedException

from hemlocktrestle.adapters._tls import TlsContexts, TlsFiles, certificate_names
from hemlocktrestle.errors import RequestError
from tests.support import TrioTestCase


def issue(authority: trustme.CA, folder: Path, name: str) -> TlsFiles:
    """Write a certificate for a VM and return its files."""
    folder.mkdir(exist_ok=True)
    certificate = authority.issue_cert(name)
    files = TlsFiles(*(str(folder / part) for part in ("ca", "certificate", "key")))
    authority.cert_pem.write_to_path(files.ca_file)
    certificate.private_key_pem.write_to_path(files.key_file)
    certificate.cert_chain_pems[0].write_to_path(files.certificate_file)
    return files


class TlsContextsTests(TrioTestCase):
    """Peers prove their names to each other, and files may be replaced."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.authority = trustme.CA()

    async def _names_seen(
        self, server: TlsContexts, client: TlsContexts, expected: str
    ) -> frozenset[str] | None:
        """Join two VMs and return the names that the server sees."""
        async with AsyncExitStack() as stack:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            await stack.enter_async_context(listeners[0])
            port = listeners[0].socket.getsockname()[1]
            seen: list[frozenset[str] | None] = []

            async def accept() -> None:
                raw = await listeners[0].accept()
                stream = trio.SSLStream(raw, server.peer_server, server_side=True)
                async with stream:
                    await stream.do_handshake()
                    await stream.receive_some(1)
                    seen.append(certificate_names(stream))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(accept)
                raw = await trio.open_tcp_stream("127.0.0.1", port)
                async with trio.SSLStream(
                    raw, client.peer_client, server_hostname=expected
                ) as stream:
                    await stream.do_handshake()
                    await stream.send_all(b"x")
            return seen[0]

    async def test_peers_learn_each_others_names(self) -> None:
        """The server sees the client's name, and the client checked the server's."""
        one = TlsContexts(issue(self.authority, self.folder / "one", "vm-1"))
        two = TlsContexts(issue(self.authority, self.folder / "two", "vm-2"))
        self.assertEqual({"vm-2"}, await self._names_seen(one, two, "vm-1"))

    async def test_a_peer_with_another_name_is_refused(self) -> None:
        """The client does not talk to a server whose certificate names another."""
        one = TlsContexts(issue(self.authority, self.folder / "one", "vm-1"))
        two = TlsContexts(issue(self.authority, self.folder / "two", "vm-2"))
        with self.assertRaises(BaseExceptionGroup):
            await self._names_seen(one, two, "vm-9")

    async def test_a_peer_of_another_authority_is_refused(self) -> None:
        """Neither side accepts a certificate of an authority that it does not know."""
        one = TlsContexts(issue(self.authority, self.folder / "one", "vm-1"))
        two = TlsContexts(issue(trustme.CA(), self.folder / "two", "vm-2"))
        with self.assertRaises(BaseExceptionGroup):
            await self._names_seen(one, two, "vm-1")

    async def test_new_files_are_used_without_a_restart(self) -> None:
        """After a reload the same context presents the new certificate."""
        files = issue(self.authority, self.folder / "one", "vm-1")
        one = TlsContexts(files)
        two = TlsContexts(issue(self.authority, self.folder / "two", "vm-2"))
        self.assertFalse(two.reload())
        renewed = issue(self.authority, self.folder / "two", "vm-2-renewed")
        os.utime(renewed.certificate_file, ns=(1, 1))
        self.assertTrue(two.reload())
        self.assertEqual({"vm-2-renewed"}, await self._names_seen(one, two, "vm-1"))

    def test_a_missing_file_is_named(self) -> None:
        """The error names the file that cannot be read."""
        files = issue(self.authority, self.folder / "one", "vm-1")
        Path(files.key_file).unlink()
        with ExpectedException(RequestError, ".*key: not readable"):
            TlsContexts(files)

    def test_old_protocols_are_refused(self) -> None:
        """No context speaks anything older than TLS 1.2."""
        one = TlsContexts(issue(self.authority, self.folder / "one", "vm-1"))
        for context in (one.peer_client, one.peer_server, one.public_server):
            self.assertEqual(ssl.TLSVersion.TLSv1_2, context.minimum_version)
