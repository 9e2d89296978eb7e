"""What every host of the decisions shares: the driver, endpoints and their gossip, parameters, timers."""
