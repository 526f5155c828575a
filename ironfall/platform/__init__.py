"""A director in service on the platform: reports and the host list in, orders out to the relay."""
