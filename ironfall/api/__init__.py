"""The long-poll protocol and the exchange protocol: messages, codecs, clients and servers.

`docs/api.md` describes both protocols.
"""
