"""Servers and weights from operators' files. A change is adopted as a whole or not at all."""
