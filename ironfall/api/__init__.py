"""The long-poll protocol and the exchange frames: messages, codecs, and both ends. `docs/api.md` describes them."""
