day: #Town & {
	name: "balancer-roll"
	says: "relays are restarted one after another"
	events: [
		{at: 4, kind: "relay_roll", for: 4, size: 0.3},
	]
}
