experiment: {
	name: "policies"
	says: "ways to choose a unit, on a bad day without builds, at three loads"
	day: "bad-day"
	set: desk: offers: []
	factors: [{name: "load", levels: [
		{name: "90 a second", set: clients: rate: 90},
		{name: "130 a second", set: clients: rate: 130},
		{name: "170 a second", set: clients: rate: 170},
	]}]
	policies: ["lanelead", "random", "least of two", "least of all", "round robin", "peak ewma"]
	seeds: {least: 8, most: 16}
	stop: {measure: "service", half_width: 0.01}
}
