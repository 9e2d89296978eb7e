// What each settings file must be. Times are in milliseconds, rates a second, sizes in bytes.

#Name:    string & =~"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
#Ms:      number & >=0 & <=86400000
#Share:   number & >=0 & <=1
#Count:   int & >=0 & <=1000000
#Port:    int & >=0 & <=65535
#Method:  "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE" | "OPTIONS"
#Header:  string & =~"^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}$"

#Address: {
	host: string | *"127.0.0.1"
	port: #Port
}

#Lane: {
	name:             #Name
	methods:          [#Method, ...#Method]
	prefix:           string & =~"^/"
	repeat:           "pure" | "receipted" | "effectful"
	expected_time_ms: #Ms & >0
	outer_limit_ms:   #Ms & >0
	value:            (number & >0) | *1
	late_value:       #Share | *0
	scope:            *"all" | "zone" | "cell"
	memory_ms:        #Ms | *0
}

#Member: {
	name:     #Name
	quota:    number & >=0
	share:    #Share
	networks: [...string] | *[]
}

#Headers: {
	member: #Header | *"Lanelead-Member"
	key:    #Header | *"Lanelead-Key"
	left:   #Header | *"Lanelead-Left"
	lookup: #Header | *"X-Request-Id"
}

#Allowance: {
	trips:             (int & >=1 & <=16) | *3
	open_lookups:      (int & >=1) | *1000
	open_connections:  (int & >=1) | *2000
	pipelined:         (int & >=1 & <=64) | *8
	body_bytes:        (int & >=0 & <=1073741824) | *1048576
	head_bytes:        (int & >=256 & <=1048576) | *16384
	calling_off:       bool | *true
	probes:            bool | *true
	second_copies:     bool | *true
	longest_advice_ms: #Ms | *2000
	connect_limit_ms:  (#Ms & >0) | *250
	idle_limit_ms:     (#Ms & >0) | *15000
	unit_connections:  (int & >=1) | *64
}

#Duties: {
	early_ms:       #Ms | *60
	answer_slack_ms: #Ms | *250
	drain_grace_ms: #Ms | *2000
	cold_share:     (number & >0 & <=1) | *0.36
	cold_ms:        #Ms | *4700
	fall_multiple:  (number & >=1) | *4
	fall_ms:        (#Ms & >0) | *1000
	tick_ms:        (#Ms & >0) | *5
}

#Trial: {
	shares:         [#Share, ...#Share] | *[0.08, 0.25, 0.6, 1]
	caps:           [#Share, ...#Share] | *[0.096, 0.3, 0.72, 1]
	free:           (number & >=0) | *3
	window_ms:      (#Ms & >0) | *3000
	by_lane:        bool | *false
	guarded:        #Count | *0
	keys_stay:      bool | *false
	in_place:       bool | *false
}

#Poll: {
	control:         *"first voice" | "by count" | "automatic"
	on_votes:        #Count | *1
	back_votes:      (int & >=1) | *1
	hold_votes:      #Count | *0
	least_stage_ms:  #Ms | *1000
	timer_stage_ms:  #Ms | *0
	answer_limit_ms: (#Ms & >0) | *800
	vote_life_ms:    (#Ms & >0) | *6000
	votes_a_second:  (number & >0) | *200
	delay_price:     (number & >=0) | *0.35
	harm_price:      (number & >=0) | *6
	complaint_share: #Share | *0
}

// Zones in the order of preference, tier after tier; the relay's own first. See docs/zones.md.
#Spill: {
	tiers: [[#Name, ...#Name], ...[#Name, ...#Name]]
	most:   (number & >=0 & <=10) | *0.9
	grow:   (number & >0 & <=100) | *1
	shrink: (number & >0 & <=100) | *2
}

// The figures that all relays and the outside share.
#Service: {
	lanes:     [#Lane, ...#Lane]
	members:   [...#Member] | *[]
	headers:   #Headers
	allowance: #Allowance
	duties:    #Duties
	trial:     #Trial
	poll:      #Poll
}

#Feed: {
	address:      #Address
	least_wait_ms: (#Ms & >0) | *100
	most_wait_ms:  (#Ms & >0) | *2000
	silence_ms:    (#Ms & >0) | *5000
}

#Peer: {
	number: int & >=0 & <=65535
	host: string | *"127.0.0.1"
	port: int & >=1 & <=65535
}

#Peers: {
	listen: #Address
	others: [...#Peer] | *[]
}

// A region holds zones. A zone's name passes between relays: 32 bytes at most.
#Region: {
	name:  #Name & =~"^.{1,32}$"
	zones: [#Name, ...#Name]
}

// Who is there, told from relay to relay. Off unless asked for; see docs/membership.md. Without seeds the peers
// are asked.
#Circle: {
	regions:   [#Region, ...#Region]
	seeds:     [...#Address] | *[]
	period_ms: (number & >=20 & <=60000) | *300
	forget_ms: (#Ms & >=1000) | *600000
}

#Relay: {
	number:    int & >=0 & <=65535
	relays:    int & >=1 & <=65536
	zone:      #Name
	seed:      (int & >=0) | *0
	listen:    #Address
	service:   #Service
	discovery: *"automatic" | "subscribe"
	reports:   [...("waiting" | "active" | "cpu" | "avg_ms" | "rps" | "err_rps")] | *["waiting", "cpu"]
	roster:    #Feed
	desk:      #Feed
	peers?:    #Peers
	circle?:   #Circle
	spill?:    #Spill
	// The store of steps: builds have traffic as the record allows. Without it every listed build is there.
	steps?:    #Feed
	log:       *"json" | "console"
}

// A day: who runs, what is asked, and what happens when. Times in events are seconds from the start.

#Part:  (number & >0 & <=1)
#At:    number & >=0 & <=3600
#Units: {
	count:        int & >=1 & <=400
	zones:        [#Name, ...#Name] | *["north", "south"]
	cores:        (int & >=1 & <=64) | *2
	waiting_room: #Count | *40
	boot_ms:      #Ms | *400
	cold_share:   (number & >0 & <=1) | *0.5
	cold_ms:      #Ms | *3000
	speed_spread: #Share | *0.15
	connections:  (int & >=1) | *512
	report_ms:    #Ms | *200
	errors:       #Share | *0.0005
}

#Work: {
	lane:  #Name
	share: number & >0
	ms:    number & >0
	cv:    (number & >=0) | *0.6
}

#Clients: {
	rate:        number & >0 & <=20000
	work:        [#Work, ...#Work]
	retries:     (int & >=0 & <=8) | *1
	honour:      #Share | *0.7
	backoff_ms:  #Ms | *150
	try_share:   #Part | *0.7
	keys:        #Count | *0
	body_bytes:  #Count | *200
	connections: (int & >=1 & <=2000) | *64
}

#Desk: {
	told_ms:    #Ms | *400
	push_ms:    (#Ms & >0) | *2000
	offers:     [...#Offer] | *[]
}

#Offer: {
	at:       #At
	bad?:     "errors" | "lane" | "slow" | "load" | "late" | "wrong" | "shared"
	strength: #Share | *0.5
	lane?:    #Name
	speed:    (number & >0) | *1
}

#Roster: {
	late_ms:   #Ms | *500
	silent_ms: #Ms | *4000
}

#Event: {
	at:   #At
	for:  (number & >0) | *1
	kind: "kill" | "stop" | "slow" | "errors" | "neighbour" | "refuse" | "deaf" | "mute" | "cut" |
		"cut_answer" | "trickle" | "garbage" | "drop_idle" | "few_connections" | "burst" | "member_burst" |
		"hot_key" | "hot_caller" | "heavy_tail" | "haste" | "idle_reap" | "false_reports" |
		"bad_requests" | "slow_lane" | "give_up" | "retry_abuse" | "drain" | "relay_kill" | "relay_stop" | "relay_roll" |
		"zone_lost" | "zone_silent" | "zone_slow" | "roster_away" | "desk_away" | "desk_mute" | "desk_stale" | "peers_lost"
	count: (int & >=1) | *1
	size:  (number & >=0) | *1
	extra: (number & >=0) | *0
	lane?: #Name
	unit?: (int & >=0)
	relay?: (int & >=0)
	zone?: #Name
	part: #Part | *1
	member?: #Name
}

#Day: {
	name:    #Name
	says:    string | *""
	seconds: number & >0 & <=600
	seed:    (int & >=0) | *1
	relays:  int & >=1 & <=64
	units:   #Units
	service: #Service
	clients: #Clients
	roster:  #Roster
	desk:    #Desk
	events:  [...#Event] | *[]
	// Each relay prefers its own zone, then all others, with these figures; without it all units are one.
	spill?: {
		most:   (number & >=0 & <=10) | *0.9
		grow:   (number & >0 & <=100) | *1
		shrink: (number & >0 & <=100) | *2
	}
	// A store with an offers table, and runners of the plans that come with lanelead or lie in a file.
	steps?: {
		rows: #Count | *2000
		runs: [#StepsRun, ...#StepsRun]
	}
	slack_ms: #Ms | *400
	seam?:   "answers" | "effects" | "drains" | "cold" | "exposure" | "strangers" | "steps"
}

#StepsRun: {
	at:          #At
	plan:        string
	what:        *"run" | "undo" | "resume" | "take"
	to:          string | *""
	past_back:   bool | *false
	kill_after?: number & >0
}

// A plan of schema and data steps, and which builds work on which states of it. See docs/migrations.md.

#Ident: string & =~"^[A-Za-z_][A-Za-z0-9_]{0,63}$"
#Sql:   string & =~"[A-Za-z]"

#Batch: {
	table:   #Ident
	key:     #Ident
	rows:    (int & >=1 & <=1000000) | *500
	rate:    (number & >0) | *5000
	hold_ms: (#Ms & >0) | *25
}

#Step: {
	name:     #Name
	kind:     "expand" | "backfill" | "contract"
	after:    [...#Name] | *[]
	apply:    [#Sql, ...#Sql]
	undo:     [#Sql, ...#Sql] | "never"
	limit_ms: (#Ms & >0) | *10000
	batch?:   #Batch
}

#Demands: {
	build: int & >=0 & <=65535
	needs: [...{step: #Name, stage: (int & >=0 & <=1000) | *0}] | *[]
	until: [...#Name] | *[]
	// What a unit's stand-in of the build writes for an effectful lookup, with :op for its name.
	write: string | *""
}

#Steps: {
	name:   #Name
	steps:  [#Step, ...#Step]
	builds: [...#Demands] | *[]
}

// An experiment: a day in the model under factors and policies, over seeds. See docs/model.md.

#Experiment: {
	name: #Name
	says: string | *""
	day:  string
	set:  {...} | *{}
	factors: [...{name: #Name, levels: [#Level, ...#Level]}] | *[]
	policies: [string, ...string] | *["lanelead"]
	baseline: string | *"lanelead"
	seeds: {least: (int & >=2 & <=10000) | *4, most: (int & >=2 & <=10000) | *16}
	stop: {measure: string | *"service", half_width: (number & >0) | *0.02}
	judged: bool | *true
}

#Level: {
	name: string
	set: {...} | *{}
}

#File: {relay: #Relay} | {day: #Day} | {steps: #Steps} | {experiment: #Experiment}
#ExperimentFile: {experiment: #Experiment}
#StepsFile: {steps: #Steps}
#RelayFile: {relay: #Relay}
#DayFile: {day: #Day}

// A small town for short scripts: they add what happens.
#Town: #Day & {
	seconds: number | *14
	relays:  int | *2
	units: {count: int | *8, boot_ms: 200}
	service: {
		lanes: [
			{name: "offer-status", methods: ["GET", "HEAD"], prefix: "/offers", repeat: "pure"
				expected_time_ms: 400, outer_limit_ms: 1500, late_value: 0.2},
			{name: "offer-save", methods: ["PUT"], prefix: "/drafts", repeat: "receipted", scope: "zone"
				memory_ms: 3000, expected_time_ms: 400, outer_limit_ms: 1500, value: 2, late_value: 0.2},
			{name: "offer-submit", methods: ["POST"], prefix: "/offers", repeat: "effectful"
				expected_time_ms: 400, outer_limit_ms: 1500, value: 3, late_value: 0.2},
		]
		members: [
			{name: "thermaiki", quota: 70, share: 0.62},
			{name: "pindos-power", quota: 25, share: 0.24},
			{name: "aigaio-energy", quota: 15, share: 0.14},
		]
		duties: {cold_share: 0.4, cold_ms: 3000}
	}
	clients: {
		rate: number | *90
		work: [
			{lane: "offer-status", share: 0.55, ms: 60},
			{lane: "offer-save", share: 0.15, ms: 40},
			{lane: "offer-submit", share: 0.3, ms: 40},
		]
	}
	roster: {late_ms: 300}
	desk: {told_ms: 300}
}
