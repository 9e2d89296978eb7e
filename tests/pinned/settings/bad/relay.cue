relay: {
	number: -1, relays: "x", zone: "north", lanes: []
	listen: port: 70000
	service: lanes: [{name: "a", methods: ["GET"], prefix: "no-slash", repeat: "twice"
		expected_time_ms: 0, outer_limit_ms: 1000}]
	roster: address: prot: 7001
}
