"""The small obedient proxy: it picks by its tables, tries again only as ordered and where that is safe, and reports.

`picking` and `sums` are pure; `hosts` keeps the connections; `follow` keeps up with a director; `program` serves.
"""
