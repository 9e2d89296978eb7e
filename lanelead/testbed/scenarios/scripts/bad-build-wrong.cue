day: #Town & {
	name: "bad-build-wrong"
	says: "a build that is bad in one way: wrong"
	seconds: 24
	service: poll: complaint_share: 0.5
	desk: offers: [{at: 2, bad: "wrong", strength: 0.3}]
}
