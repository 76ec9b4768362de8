"""Where jobs spend their time, from the structured logs of entries and agents."""
