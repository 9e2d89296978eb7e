experiment: {
	name: "retries"
	says: "a burst over what the units can do, and clients that heed nothing: does the fleet come back by itself?"
	day: "retry-abuse"
	factors: [
		{name: "load", levels: [
			{name: "90 a second", set: clients: rate: 90},
			{name: "150 a second", set: clients: rate: 150},
			{name: "210 a second", set: clients: rate: 210},
		]},
		{name: "retries", levels: [
			{name: "1 retry", set: clients: retries: 1},
			{name: "6 retries", set: clients: retries: 6},
		]},
	]
	policies: ["lanelead", "least of two", "random"]
	seeds: {least: 6, most: 12}
	stop: {measure: "service", half_width: 0.02}
}
