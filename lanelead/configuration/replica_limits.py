"""Intervals and limits of a replica. Times are in seconds."""

HEARTBEAT_INTERVAL_SECONDS = 0.5
MAX_UNANSWERED_HEARTBEATS = 12  # to one peer; no further heartbeat is sent until one is answered or times out
MAX_CONCURRENT_FETCHES = 3  # peers that changes are fetched from at the same time
MAX_QUEUED_PROPOSALS = 64
COMPLETION_DELAY_SECONDS = 0.75  # shortest wait before a voter completes an undecided change that it accepted
MAX_COMPLETION_DELAY_SECONDS = 24.0  # the wait doubles with each attempt, up to this
