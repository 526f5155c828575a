"""The director as a service on the platform.

It receives load reports and the host list, and sends its orders to the relay.
"""
