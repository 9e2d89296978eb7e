day: #Town & {
	name: "crash"
	says: "units die and come back cold"
	events: [
		{at: 4, kind: "kill", count: 2, for: 4},
	]
}
