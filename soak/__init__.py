"""Fault soak: daemon processes under seeded faults that are injected from outside."""
