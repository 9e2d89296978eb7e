"""What only tries the product out: emulators, scenarios, simulation, experiments, load. Nothing above imports it."""
