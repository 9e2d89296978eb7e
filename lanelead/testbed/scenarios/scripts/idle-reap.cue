day: #Town & {
	name: "idle-reap"
	says: "idle connections are dropped unseen"
	events: [
		{at: 3, kind: "idle_reap", count: 3, for: 8, size: 0.3},
		{at: 3.5, kind: "drop_idle", count: 2, for: 2},
	]
}
