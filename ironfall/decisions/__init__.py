"""Decides host weights, admission and the tables that proxies are assigned to; does no I/O."""
