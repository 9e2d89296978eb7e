day: #Town & {
	name: "cut"
	says: "connections are reset after the body, answers cut, trickled and garbled"
	events: [
		{at: 2, kind: "cut", for: 4, size: 0.3},
		{at: 3, kind: "cut_answer", for: 4, size: 0.3},
		{at: 4, kind: "trickle", for: 4, size: 0.5},
		{at: 5, kind: "garbage", for: 4, size: 0.3},
	]
}
