// The first proof: everything that a bad morning brings, on one fleet, judged from the sockets.
day: {
	name:    "bad-day"
	says:    "a good build released, a bad one sent back, a burst, units lost, a relay killed, feeds away"
	seconds: 60
	relays:  3
	units: {count: 12, zones: ["north", "south"]}
	service: {
		lanes: [
			{name: "offer-status", methods: ["GET", "HEAD"], prefix: "/offers", repeat: "pure"
				expected_time_ms: 400, outer_limit_ms: 2000, late_value: 0.2},
			{name: "offer-save", methods: ["PUT"], prefix: "/drafts", repeat: "receipted", scope: "zone"
				memory_ms: 3000, expected_time_ms: 400, outer_limit_ms: 2000, value: 2, late_value: 0.2},
			{name: "offer-submit", methods: ["POST"], prefix: "/offers", repeat: "effectful"
				expected_time_ms: 400, outer_limit_ms: 2000, value: 3, late_value: 0.2},
		]
		members: [
			{name: "thermaiki", quota: 90, share: 0.62},
			{name: "pindos-power", quota: 35, share: 0.24},
			{name: "aigaio-energy", quota: 20, share: 0.14},
		]
		duties: {cold_share: 0.4, cold_ms: 3000}
	}
	clients: {
		rate: 130
		work: [
			{lane: "offer-status", share: 0.55, ms: 70},
			{lane: "offer-save", share: 0.15, ms: 50},
			{lane: "offer-submit", share: 0.3, ms: 50},
		]
	}
	roster: {}
	desk: offers: [
		{at: 4, speed: 1.05},
		{at: 33, bad: "errors", strength: 0.6},
	]
	events: [
		{at: 8, kind: "peers_lost", for: 45, size: 0.5},
		{at: 11, kind: "drain", unit: 9, for: 8},
		{at: 13, kind: "relay_kill", relay: 1, for: 1.5},
		{at: 25, kind: "burst", for: 4, size: 4},
		{at: 31, kind: "kill", count: 1, for: 8},
		{at: 31, kind: "stop", count: 1, for: 5},
		{at: 31, kind: "slow", count: 1, for: 8, size: 6},
		{at: 43, kind: "roster_away", for: 4},
		{at: 45, kind: "desk_away", for: 4},
		{at: 47, kind: "cut", count: 1, for: 3, size: 0.3},
		{at: 50, kind: "drain", count: 1, for: 6},
	]
}
