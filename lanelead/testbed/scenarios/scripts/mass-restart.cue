day: #Town & {
	name: "mass-restart"
	says: "95 of 100 units restart at the same moment, and come back cold"
	seconds: 30
	relays: 6
	units: {count: 24, zones: ["north", "east", "west"]}
	clients: rate: 160
	events: [
		{at: 8, kind: "zone_lost", zone: "north", part: 0.95, for: 0.5},
		{at: 8, kind: "zone_lost", zone: "east", part: 0.95, for: 0.5},
		{at: 8, kind: "zone_lost", zone: "west", part: 0.95, for: 0.5},
	]
}
