day: #Town & {
	name: "deaf-mute"
	says: "units accept and never read, or read and never answer"
	events: [
		{at: 3, kind: "deaf", for: 4},
		{at: 5, kind: "mute", for: 4},
		{at: 7, kind: "refuse", for: 4},
	]
}
