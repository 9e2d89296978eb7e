// Prices of offers move from a text to whole cents, and notes to a table of their own, while offers are filed.
steps: {
	name: "offers"
	steps: [
		{name: "add-cents", kind: "expand"
			apply: ["ALTER TABLE offers ADD COLUMN cents INTEGER"]
			undo: ["ALTER TABLE offers DROP COLUMN cents"]},
		{name: "keep-cents", kind: "expand", after: ["add-cents"]
			apply: ["CREATE TRIGGER offers_cents AFTER INSERT ON offers WHEN NEW.cents IS NULL BEGIN UPDATE offers SET cents = CAST(round(NEW.price * 100) AS INTEGER) WHERE id = NEW.id; END"]
			undo: ["DROP TRIGGER offers_cents"]},
		{name: "add-currency", kind: "expand"
			apply: ["ALTER TABLE offers ADD COLUMN currency TEXT DEFAULT 'EUR'"]
			undo: ["ALTER TABLE offers DROP COLUMN currency"]},
		{name: "fill-cents", kind: "backfill", after: ["keep-cents"]
			batch: {table: "offers", key: "id", rows: 200, rate: 20000}
			apply: ["UPDATE offers SET cents = CAST(round(price * 100) AS INTEGER) WHERE id > :low AND id <= :high AND cents IS NULL"]
			undo: ["SELECT 1"]},
		{name: "index-cents", kind: "expand", after: ["fill-cents"]
			apply: ["CREATE INDEX offers_by_cents ON offers (cents)"]
			undo: ["DROP INDEX offers_by_cents"]},
		{name: "add-notes", kind: "expand"
			apply: ["CREATE TABLE notes (offer INTEGER PRIMARY KEY, note TEXT)"]
			undo: ["DROP TABLE notes"]},
		{name: "fill-notes", kind: "backfill", after: ["add-notes"]
			batch: {table: "offers", key: "id", rows: 200, rate: 20000}
			apply: ["INSERT INTO notes SELECT id, 'of ' || op FROM offers WHERE id > :low AND id <= :high"]
			undo: ["DELETE FROM notes"]},
		{name: "drop-price", kind: "contract", after: ["index-cents", "fill-notes", "add-currency"]
			apply: ["DROP TRIGGER offers_cents", "ALTER TABLE offers DROP COLUMN price"]
			undo: "never"},
	]
	builds: [
		{build: 1, until: ["drop-price"], write: "INSERT INTO offers (op, price) VALUES (:op, '12.50')"},
		{build: 2, needs: [{step: "keep-cents"}, {step: "add-currency"}, {step: "fill-cents", stage: 1}]
			write: "INSERT INTO offers (op, cents, currency) VALUES (:op, 1250, 'EUR')"},
	]
}
