"""Imports asyncio and uvloop without OpenSSL, which takes over 4 MB of a relay's memory and which no relay uses.

Both import `ssl` when they are loaded, whether or not TLS is used. Modules that are loaded later and import `ssl` or
`_hashlib` get the real ones.
"""

from __future__ import annotations

import sys
from types import ModuleType
from typing import Any


class _TlsError(OSError):
    """Stands for all exceptions of the module `ssl`; never raised."""


def _no_tls(*_: Any, **__: Any) -> None:
    raise NotImplementedError("this process was started without TLS")


def _ssl_stub() -> ModuleType:
    """Returns a module with the names that uvloop and asyncio look up when they are loaded."""
    stub = ModuleType("ssl")
    errors = ("SSLError", "SSLWantReadError", "SSLSyscallError", "SSLZeroReturnError", "CertificateError")
    names: dict[str, Any] = dict.fromkeys(errors, _TlsError)
    names |= {"SSLContext": type("SSLContext", (), {}), "MemoryBIO": _no_tls, "create_default_context": _no_tls}
    names |= {"SSL_ERROR_WANT_READ": 2, "SSL_ERROR_WANT_WRITE": 3, "SSL_ERROR_SYSCALL": 5}
    stub.__dict__.update(names)
    return stub


def import_event_loop() -> None:
    """Imports asyncio, uvloop and hashlib without OpenSSL; hashlib has Python's own implementations.

    To be called before anything else imports them; does nothing if `ssl` is loaded already.
    """
    if "ssl" in sys.modules:
        return
    sys.modules["ssl"] = _ssl_stub()
    sys.modules["_hashlib"] = None  # type: ignore[assignment] # an import of it fails (see `sys.modules`)
    try:
        import asyncio
        import hashlib

        import uvloop

        assert asyncio and hashlib and uvloop
    finally:
        del sys.modules["ssl"], sys.modules["_hashlib"]
