"""The decisions of a relay, without I/O: `balancer` is the entry point, `interface` the types shared with the host."""
