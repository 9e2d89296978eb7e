day: #Town & {
	name: "drain"
	says: "units drain for upkeep and return cold"
	events: [
		{at: 3, kind: "drain", for: 5},
		{at: 6, kind: "drain", for: 5},
	]
}
