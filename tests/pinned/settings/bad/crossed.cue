relay: {
	number: 3, relays: 3, zone: "north"
	listen: port: 0
	service: {
		lanes: [
			{name: "a", methods: ["GET"], prefix: "/", repeat: "pure", expected_time_ms: 2000, outer_limit_ms: 1000},
			{name: "a", methods: ["GET"], prefix: "/", repeat: "receipted", expected_time_ms: 100, outer_limit_ms: 1000},
		]
		members: [{name: "one", quota: 1, share: 1, networks: ["300.0.0.0/8"]}]
		trial: {shares: [0.1, 1], caps: [1]}
	}
	roster: address: port: 7001
	desk: address: port: 7002
	circle: regions: [{name: "up", zones: ["south"]}]
	spill: tiers: [["south"]]
}
