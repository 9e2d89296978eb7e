day: #Town & {
	name: "haste"
	says: "clients wait a fifth of a second only"
	events: [
		{at: 4, kind: "haste", for: 6, size: 0.5},
	]
}
