day: #Town & {
	name: "burst"
	says: "traffic beyond the fleet's capacity for some seconds"
	events: [
		{at: 4, kind: "burst", for: 4, size: 5},
	]
}
