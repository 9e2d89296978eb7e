"""The five rules, verified from a recording alone; a module a rule."""
