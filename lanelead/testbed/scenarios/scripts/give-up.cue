day: #Town & {
	name: "give-up"
	says: "half of the clients leave in mid-lookup"
	events: [
		{at: 4, kind: "give_up", for: 6, size: 0.5, extra: 0.05},
	]
}
