day: #Town & {
	name: "zone-loss"
	says: "a zone of three is lost, returns, fails again and returns a second time"
	seconds: 44
	relays: 6
	units: {count: 12, zones: ["north", "east", "west"]}
	clients: rate: 120
	spill: {}
	events: [
		{at: 10, kind: "zone_lost", zone: "west", for: 6},
		{at: 21, kind: "zone_lost", zone: "west", for: 6},
	]
}
