day: #Town & {
	name: "retry-abuse"
	says: "clients repeat at once, and heed nothing"
	events: [
		{at: 4, kind: "retry_abuse", for: 6, size: 6},
		{at: 5, kind: "burst", for: 3, size: 4},
	]
}
