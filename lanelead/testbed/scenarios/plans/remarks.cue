// A column that build 3 wants; the build is bad, and the step is undone after it has gone back.
steps: {
	name: "remarks"
	steps: [
		{name: "add-remark", kind: "expand"
			apply: ["ALTER TABLE offers ADD COLUMN remark TEXT"]
			undo: ["ALTER TABLE offers DROP COLUMN remark"]},
	]
	builds: [
		{build: 2, write: "INSERT INTO offers (op, cents, currency) VALUES (:op, 1250, 'EUR')"},
		{build: 3, needs: [{step: "add-remark"}]
			write: "INSERT INTO offers (op, cents, currency, remark) VALUES (:op, 1250, 'EUR', 'new')"},
	]
}
