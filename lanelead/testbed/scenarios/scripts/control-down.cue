day: #Town & {
	name: "control-down"
	says: "the desk answers no votes, then is away, then is late"
	events: [
		{at: 2, kind: "desk_mute", for: 3},
		{at: 5.5, kind: "desk_away", for: 2},
		{at: 8, kind: "desk_stale", for: 3, size: 3},
	]
}
