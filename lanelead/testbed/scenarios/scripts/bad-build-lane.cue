day: #Town & {
	name: "bad-build-lane"
	says: "a build that is bad in one way: lane"
	seconds: 24
	desk: offers: [{at: 2, bad: "lane", strength: 0.6, lane: "offer-submit"}]
}
