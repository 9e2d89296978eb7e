day: #Town & {
	name: "peer-down"
	says: "no message between relays arrives"
	events: [
		{at: 1, kind: "peers_lost", for: 12, size: 1},
	]
}
