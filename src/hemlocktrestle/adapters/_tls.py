"""TLS contexts from certificate files that may be replaced at run time."""

import logging
import ssl
from pathlib import Path
from typing import NamedTuple

import trio

from hemlocktrestle.errors import ErrorKind, RequestError

log = logging.getLogger(__name__)

RELOAD_INTERVAL_S = 10.0
"""Interval between checks of the files, in seconds."""


class TlsFiles(NamedTuple):
    """Paths of the authority's certificate and of a VM's certificate and key."""

    ca_file: str
    certificate_file: str
    key_file: str


class TlsContexts:
    """The TLS contexts of one VM, reloaded when their files change.

    A certificate is loaded into the existing context, so that listeners and dial
    tasks need no notice of it; open links keep the old certificate.

    Args:
        files: paths of the certificates and the key.

    Raises:
        RequestError: ``SETTINGS_INVALID`` if a file is missing or invalid.
    """

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._loaded_times = self._modification_times()
        self.peer_server = self._build(ssl.PROTOCOL_TLS_SERVER, verifies_peer=True)
        self.peer_client = self._build(ssl.PROTOCOL_TLS_CLIENT, verifies_peer=True)
        self.public_server = self._build(ssl.PROTOCOL_TLS_SERVER, verifies_peer=False)

    def reload(self) -> bool:
        """Reload the files if any of them has changed; ``True`` if so."""
        changes = self._modification_times()
        if changes == self._loaded_times:
            return False
        for context in (self.peer_server, self.peer_client, self.public_server):
            self._load(context)
        self._loaded_times = changes
        log.info("certificates_reloaded", extra={"file": self._files.certificate_file})
        return True

    async def reload_on_change(self) -> None:
        """Reload whenever the files change; a failed reload is logged."""
        while True:
            await trio.sleep(RELOAD_INTERVAL_S)
            try:
                self.reload()
            except RequestError as error:
                log.error("certificates_not_reloaded", extra={"reason": error.message})

    def _build(self, protocol: int, *, verifies_peer: bool) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        if verifies_peer:
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

    def _modification_times(self) -> tuple[int, ...]:
        try:
            return tuple(Path(path).stat().st_mtime_ns for path in self._files)
        except OSError as error:
            raise RequestError(
                ErrorKind.SETTINGS_INVALID, f"security: {error.filename}: not readable"
            ) from error


def certificate_names(stream: trio.abc.Stream) -> frozenset[str] | None:
    """Return the DNS names in a peer's certificate, or ``None`` without TLS."""
    if not isinstance(stream, trio.SSLStream):
        return None
    certificate = stream.getpeercert() or {}
    names = certificate.get("subjectAltName", ())
    return frozenset(value for kind, value in names if kind == "DNS")
