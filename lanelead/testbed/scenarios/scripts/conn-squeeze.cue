day: #Town & {
	name: "conn-squeeze"
	says: "units grant few connections"
	events: [
		{at: 4, kind: "few_connections", count: 3, for: 6, size: 2},
	]
}
