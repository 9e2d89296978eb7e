day: #Town & {
	name: "bad-build-load"
	says: "a build that is bad in one way: load"
	seconds: 24
	desk: offers: [{at: 2, bad: "load", strength: 0.9}]
}
