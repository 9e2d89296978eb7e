"""lanelead: relays that route requests to endpoints while their builds are replaced, and vote on each new build."""

VERSION = "0.2.0"
