day: #Town & {
	name: "neighbour"
	says: "another program takes part of some machines, on and off"
	events: [
		{at: 3, kind: "neighbour", count: 3, for: 9, size: 0.6},
	]
}
