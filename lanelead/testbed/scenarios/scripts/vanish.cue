day: #Town & {
	name: "vanish"
	says: "units go silent, and wake up later"
	events: [
		{at: 4, kind: "stop", count: 2, for: 4},
	]
}
