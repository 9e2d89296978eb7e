"""The times and bounds that a replica goes by."""

HEARTBEAT_INTERVAL_SECONDS = 0.5  # seconds
MAX_UNANSWERED_HEARTBEATS = 12  # signs to one machine without an answer yet, at the most
MAX_CONCURRENT_FETCHES = 3  # machines that are asked for changes at a time
MAX_QUEUED_PROPOSALS = 64  # proposals
COMPLETION_DELAY_SECONDS = 0.75  # seconds until a change that was accepted here and not decided is finished, at least
MAX_COMPLETION_DELAY_SECONDS = 24.0  # the same for later tries
