day: #Town & {
	name: "hot-caller"
	says: "one relay carries most of the traffic"
	events: [
		{at: 4, kind: "hot_caller", for: 6, size: 0.6},
	]
}
