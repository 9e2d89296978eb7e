"""The decisions of a relay, without I/O: `balancer` joins them, `interface` has what a host exchanges with them."""
