day: #Town & {
	name: "zone-build"
	says: "a bad build comes while a zone is lost: it goes back for its errors, and a good one is not blamed"
	seconds: 52
	relays: 6
	units: {count: 12, zones: ["north", "east", "west"]}
	clients: rate: 120
	spill: {}
	desk: offers: [{at: 6, bad: "errors", strength: 0.5}, {at: 26}]
	events: [
		{at: 9, kind: "zone_lost", zone: "west", for: 9},
		{at: 30, kind: "zone_lost", zone: "east", for: 8},
	]
}
