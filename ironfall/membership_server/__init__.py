"""Observers as processes, and a member's way to them: what does I/O beside the pure `ironfall.membership`."""
