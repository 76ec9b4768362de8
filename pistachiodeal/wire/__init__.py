"""The protocol between entries and agents: messages, codec, handshake and links."""
