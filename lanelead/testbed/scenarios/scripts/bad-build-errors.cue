day: #Town & {
	name: "bad-build-errors"
	says: "a build that is bad in one way: errors"
	seconds: 24
	desk: offers: [{at: 2, bad: "errors", strength: 0.4}]
}
