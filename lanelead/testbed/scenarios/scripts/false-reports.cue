day: #Town & {
	name: "false-reports"
	says: "units say that nothing waits"
	events: [
		{at: 2, kind: "false_reports", count: 3, for: 10},
		{at: 5, kind: "burst", for: 3, size: 4},
	]
}
