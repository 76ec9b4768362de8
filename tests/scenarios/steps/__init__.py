"""Steps of the scenarios, by subject."""
