day: #Town & {
	name: "zone-half"
	says: "half of a zone is lost, and returns"
	seconds: 30
	relays: 6
	units: {count: 12, zones: ["north", "east", "west"]}
	clients: rate: 120
	spill: {}
	events: [
		{at: 10, kind: "zone_lost", zone: "west", part: 0.5, for: 8},
	]
}
