"""Small stand-ins for the platform and for runners: plain processes on loopback."""
