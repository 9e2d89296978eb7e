day: #Town & {
	name: "heavy-tail"
	says: "one lookup of fifty needs ten times the work"
	events: [
		{at: 4, kind: "heavy_tail", for: 6, size: 10},
	]
}
