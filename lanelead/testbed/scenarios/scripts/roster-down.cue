day: #Town & {
	name: "roster-down"
	says: "the roster is away while a unit dies"
	events: [
		{at: 4, kind: "roster_away", for: 5},
		{at: 5, kind: "kill", for: 3},
	]
}
