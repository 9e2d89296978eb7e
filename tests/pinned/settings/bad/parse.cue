relay: {
	number: 0,, relays: 3
