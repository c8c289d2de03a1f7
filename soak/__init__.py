"""Fault soak: daemons as processes under seeded faults from outside them."""
