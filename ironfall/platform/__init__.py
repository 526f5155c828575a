"""The platform's protocol: collectors' lines in, the list by a watch, orders out by calls to the relay."""
