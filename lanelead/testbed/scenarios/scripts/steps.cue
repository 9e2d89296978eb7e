day: #Town & {
	name: "steps"
	says: "a build waits for three steps whose runner is killed twice; a second one goes back after its expand step"
	seconds: 50
	relays: 3
	units: count: 8
	clients: rate: 60
	service: trial: {shares: [0.25, 1], caps: [0.3, 1]}
	desk: offers: [
		{at: 2},
		{at: 33, bad: "errors", strength: 0.9},
	]
	steps: {
		rows: 40000
		runs: [
			{at: 0.5, plan: "offers", what: "take"},
			{at: 4, plan: "offers", kill_after: 1.6},
			{at: 6, plan: "offers", kill_after: 1.8},
			{at: 9, plan: "offers"},
			{at: 28, plan: "offers", past_back: true},
			{at: 31, plan: "remarks", what: "take"},
			{at: 34.5, plan: "remarks"},
			{at: 45, plan: "remarks", what: "undo"},
		]
	}
}
