experiment: {
	name: "mass-restart"
	says: "95 of 100 units restart at once and come back cold: what is earned, and does anything fall over?"
	day: "mass-restart"
	factors: [{name: "load", levels: [
		{name: "160 a second", set: clients: rate: 160},
		{name: "320 a second", set: clients: rate: 320},
	]}]
	policies: ["lanelead", "least of two", "random"]
	seeds: {least: 6, most: 12}
	stop: {measure: "service", half_width: 0.01}
}
