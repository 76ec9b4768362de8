"""The protocol between the project's own processes: messages, codec, links."""
