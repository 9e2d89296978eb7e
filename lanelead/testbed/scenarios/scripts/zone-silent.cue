day: #Town & {
	name: "zone-silent"
	says: "a zone falls silent while the roster still lists it"
	seconds: 34
	relays: 6
	units: {count: 12, zones: ["north", "east", "west"]}
	clients: rate: 120
	spill: {}
	events: [
		{at: 10, kind: "zone_silent", zone: "west", for: 8},
	]
}
