day: #Town & {
	name: "bad-requests"
	says: "a fifth of the lookups fail anywhere"
	events: [
		{at: 4, kind: "bad_requests", for: 5, size: 0.2},
	]
}
