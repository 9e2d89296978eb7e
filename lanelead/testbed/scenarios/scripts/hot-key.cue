day: #Town & {
	name: "hot-key"
	says: "one key draws a quarter of the traffic"
	events: [
		{at: 4, kind: "hot_key", for: 6, size: 0.25},
	]
}
