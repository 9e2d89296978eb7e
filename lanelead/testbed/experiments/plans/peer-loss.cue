experiment: {
	name: "peer-loss"
	says: "letters between relays are lost from the start: how much later does a bad build go back?"
	day: "bad-build-lane"
	set: relays: 8
	factors: [{name: "lost", levels: [
		{name: "none", set: events: []},
		{name: "half", set: events: [{at: 0, for: 600, kind: "peers_lost", size: 0.5, extra: 0, count: 1, part: 1}]},
		{name: "all", set: events: [{at: 0, for: 600, kind: "peers_lost", size: 1, extra: 0, count: 1, part: 1}]},
	]}]
	policies: ["lanelead", "error limit", "sequential"]
	seeds: {least: 10, most: 20}
	stop: {measure: "service", half_width: 0.01}
}
