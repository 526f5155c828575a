"""ironfall: a control plane that decides the tables of a service's proxies."""
