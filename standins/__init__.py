"""Stand-ins for the systems around siskinlug, for tests and the bench."""
