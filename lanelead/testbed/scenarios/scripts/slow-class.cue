day: #Town & {
	name: "slow-class"
	says: "one lane's work takes eight times as long"
	events: [
		{at: 4, kind: "slow_lane", for: 5, size: 8, lane: "offer-save"},
	]
}
