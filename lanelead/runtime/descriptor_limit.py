"""How many file descriptors this process may hold."""

from __future__ import annotations

import resource
import sys


def descriptor_limit() -> int:
    """Returns the process's limit of open files (RLIMIT_NOFILE), or a very large number if there is none."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return sys.maxsize if limit == resource.RLIM_INFINITY else limit
