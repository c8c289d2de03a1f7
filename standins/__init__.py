"""Small stand-ins for the systems outside siskinlug, for tests and the bench."""
