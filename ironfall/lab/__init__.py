"""The laboratory: emulated hosts and clients, troubles, days, and the judge of the rules.

It knows nothing of the decisions: any director that speaks the protocol can be put through a day. Hosts wait their
service times instead of burning them; figures from here are of emulated hosts, never of real machines.
"""
