day: #Town & {
	name: "bad-build-late"
	says: "a build that is bad in one way: late"
	seconds: 24
	desk: offers: [{at: 2, bad: "late", strength: 0.9}]
}
