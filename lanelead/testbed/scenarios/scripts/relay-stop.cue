day: #Town & {
	name: "relay-stop"
	says: "a relay stands still for a moment"
	events: [
		{at: 4, kind: "relay_stop", relay: 0, for: 0.3},
		{at: 7, kind: "relay_stop", relay: 1, for: 0.3},
	]
}
