day: #Town & {
	name: "slow"
	says: "units run six times slower"
	events: [
		{at: 4, kind: "slow", count: 2, for: 6, size: 6},
	]
}
