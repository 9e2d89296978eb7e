"""Entry point `python -m lanelead.postgres_relay`: `lanelead node` without the command line, which takes memory."""

from lanelead.runtime.without_openssl import import_event_loop

import_event_loop()

from lanelead.postgres_relay.main import run  # noqa: E402 - after `import_event_loop`

run("json")
