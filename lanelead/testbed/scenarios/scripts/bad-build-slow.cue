day: #Town & {
	name: "bad-build-slow"
	says: "a build that is bad in one way: slow"
	seconds: 24
	desk: offers: [{at: 2, bad: "slow", strength: 0.9}]
}
