"""TLS from certificate files, which may be replaced while the process runs."""

import logging
import ssl
from pathlib import Path
from typing import NamedTuple

import trio

from hemlocktrestle.errors import ErrorKind, RequestError

log = logging.getLogger(__name__)

RELOAD_S = 10.0
"""Time between looks at the files, in seconds."""


class TlsFiles(NamedTuple):
    """Paths of the authority's certificate and of a VM's certificate and key."""

    ca_file: str
    certificate_file: str
    key_file: str


class TlsContexts:
    """The contexts of one VM, which follow their files.

    A context that is in use takes in a new certificate in place, so listeners and
    dialers need not be told; links that are open keep the old one.

    Args:
        files: where the certificates are.

    Raises:
        RequestError: ``SETTINGS_INVALID`` if a file is missing or wrong.
    """

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._seen = self._changes()
        self.peer_server = self._build(ssl.PROTOCOL_TLS_SERVER, asks_peer=True)
        self.peer_client = self._build(ssl.PROTOCOL_TLS_CLIENT, asks_peer=True)
        self.public_server = self._build(ssl.PROTOCOL_TLS_SERVER, asks_peer=False)

    def reload(self) -> bool:
        """Take in files that have changed; ``True`` if any was taken in."""
        changes = self._changes()
        if changes == self._seen:
            return False
        for context in (self.peer_server, self.peer_client, self.public_server):
            self._load(context)
        self._seen = changes
        log.info("certificates_reloaded", extra={"file": self._files.certificate_file})
        return True

    async def reload_on_change(self) -> None:
        """Reload whenever the files change; a bad file is logged and passed over."""
        while True:
            await trio.sleep(RELOAD_S)
            try:
                self.reload()
            except RequestError as error:
                log.error("certificates_not_reloaded", extra={"reason": error.message})

    def _build(self, protocol: int, *, asks_peer: bool) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        if asks_peer:
            context.verify_mode = ssl.CERT_REQUIRED
        self._load(context)
        return context

    def _load(self, context: ssl.SSLContext) -> None:
        files = self._files
        try:
            context.load_verify_locations(files.ca_file)
            context.load_cert_chain(files.certificate_file, files.key_file)
        except (OSError, ssl.SSLError) as error:
            reason = type(error).__name__
            raise RequestError(
                ErrorKind.SETTINGS_INVALID,
                f"security: {files.certificate_file}: not usable: {reason}",
            ) from error

    def _changes(self) -> tuple[int, ...]:
        try:
            return tuple(Path(path).stat().st_mtime_ns for path in self._files)
        except OSError as error:
            raise RequestError(
                ErrorKind.SETTINGS_INVALID, f"security: {error.filename}: not readable"
            ) from error


def certificate_names(stream: trio.abc.Stream) -> frozenset[str] | None:
    """Return the names in a peer's certificate, ``None`` on a plain link."""
    if not isinstance(stream, trio.SSLStream):
        return None
    certificate = stream.getpeercert() or {}
    names = certificate.get("subjectAltName", ())
    return frozenset(value for kind, value in names if kind == "DNS")
