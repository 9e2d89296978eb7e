"""Code that all hosts of the decisions share: driver, endpoint registry, gossip codec, parameters and timers."""
