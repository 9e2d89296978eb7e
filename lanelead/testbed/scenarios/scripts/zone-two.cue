day: #Town & {
	name: "zone-two"
	says: "two zones of three are lost, with the roster away and a relay of theirs restarting"
	seconds: 36
	relays: 6
	units: {count: 12, zones: ["north", "east", "west"]}
	clients: rate: 120
	spill: {}
	events: [
		{at: 10, kind: "zone_lost", zone: "west", for: 8},
		{at: 12, kind: "zone_lost", zone: "east", for: 8},
		{at: 11, kind: "roster_away", for: 3},
		{at: 13, kind: "relay_kill", relay: 2, for: 0.5},
	]
}
