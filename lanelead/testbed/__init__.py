"""Test bed: emulators, scenarios, simulation, experiments and load. Packages outside of it don't import it."""
