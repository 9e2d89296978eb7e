"""What every host of the decisions shares: ids and letters at its door, figures read at its start."""
