relay: {
	number: 0, relays: 3, zone: "north"
	listen: port: 0
	service: lanes: [{name: "a", methods: ["GET"], prefix: "/", repeat: "pure"
		expected_time_ms: 100, outer_limit_ms: 1000}]
	roster: address: port: 7001
	desk: address: port: 7002
}
