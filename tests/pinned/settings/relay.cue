relay: {
	number: 4, relays: 9, zone: "north", seed: 11, discovery: "subscribe", log: "console"
	reports: ["waiting", "active", "cpu", "avg_ms", "rps", "err_rps"]
	listen: {host: "127.0.0.2", port: 7000}
	service: {
		lanes: [
			{name: "read", methods: ["GET", "HEAD"], prefix: "/", repeat: "pure", expected_time_ms: 100.05, outer_limit_ms: 1000, value: 1.5, late_value: 0.2},
			{name: "save", methods: ["PUT"], prefix: "/save", repeat: "receipted", expected_time_ms: 200, outer_limit_ms: 2000, scope: "zone", memory_ms: 5000},
			{name: "file", methods: ["POST"], prefix: "/file", repeat: "effectful", expected_time_ms: 300, outer_limit_ms: 3000, scope: "cell"},
		]
		members: [
			{name: "one", quota: 12.5, share: 0.6, networks: ["127.0.0.0/9"]},
			{name: "two", quota: 7, share: 0.4},
		]
		headers: {member: "X-Member", key: "X-Key", left: "X-Left", lookup: "X-Lookup"}
		allowance: {
			trips: 2, open_lookups: 50, open_connections: 60, pipelined: 4, body_bytes: 4096, head_bytes: 2048
			calling_off: false, probes: false, second_copies: false, longest_advice_ms: 1500
			connect_limit_ms: 120, idle_limit_ms: 9000, unit_connections: 12
		}
		duties: {early_ms: 20, answer_slack_ms: 100, drain_grace_ms: 900, cold_share: 0.5, cold_ms: 3000, fall_multiple: 2.5, fall_ms: 700, tick_ms: 4}
		trial: {shares: [0.1, 1], caps: [0.15, 1], free: 2, window_ms: 2500, by_lane: true, guarded: 1, keys_stay: true, in_place: true}
		poll: {
			control: "by count", on_votes: 3, back_votes: 2, hold_votes: 1, least_stage_ms: 800, timer_stage_ms: 9000
			answer_limit_ms: 600, vote_life_ms: 5000, votes_a_second: 50, delay_price: 0.2, harm_price: 4, complaint_share: 0.1
		}
	}
	roster: {address: {host: "127.0.0.3", port: 7001}, least_wait_ms: 50, most_wait_ms: 900, silence_ms: 3000}
	desk: address: port: 7002
	peers: {listen: port: 7003, others: [{number: 5, host: "127.0.0.4", port: 7004}]}
	circle: {regions: [{name: "up", zones: ["north", "south", "east"]}], seeds: [{port: 7005}], period_ms: 250, forget_ms: 90000}
	spill: {tiers: [["north"], ["south", "east"]], most: 0.8, grow: 1.5, shrink: 3}
	steps: address: port: 7006
}
