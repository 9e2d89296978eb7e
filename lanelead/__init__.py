"""lanelead: a release controller with a router that moves traffic between builds."""

VERSION = "0.2.0"
