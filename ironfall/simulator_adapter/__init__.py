"""Connects the decision engine to the simulator over standard input and output."""
