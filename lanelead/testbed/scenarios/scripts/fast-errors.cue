day: #Town & {
	name: "fast-errors"
	says: "units fail most lookups at once"
	events: [
		{at: 4, kind: "errors", count: 2, for: 6, size: 0.8},
	]
}
