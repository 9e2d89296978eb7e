day: #Town & {
	name: "tenant-burst"
	says: "one member sends five times its usual"
	events: [
		{at: 4, kind: "member_burst", for: 5, size: 5, member: "pindos-power"},
	]
}
