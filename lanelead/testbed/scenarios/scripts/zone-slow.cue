day: #Town & {
	name: "zone-slow"
	says: "a zone runs eight times slower"
	seconds: 30
	relays: 6
	units: {count: 12, zones: ["north", "east", "west"]}
	clients: rate: 120
	spill: {}
	events: [
		{at: 10, kind: "zone_slow", zone: "west", size: 8, for: 8},
	]
}
