day: #Town & {
	name: "bad-build-shared"
	says: "a build that slows all units, old and new, in step with its part"
	seconds: 30
	desk: offers: [{at: 2, bad: "shared", strength: 0.9}]
}
