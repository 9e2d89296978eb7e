day: #Town & {
	name: "zone-burst"
	says: "a zone returns in the middle of a burst"
	seconds: 36
	relays: 6
	units: {count: 12, zones: ["north", "east", "west"]}
	clients: rate: 120
	spill: {}
	events: [
		{at: 10, kind: "zone_lost", zone: "west", for: 7},
		{at: 15, kind: "burst", size: 2.5, for: 8},
	]
}
