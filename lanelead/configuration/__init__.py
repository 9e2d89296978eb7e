"""Configuration told by version and change: machines that agree on changes, and relays that follow them."""
