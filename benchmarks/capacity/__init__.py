"""The arithmetic of docs/CAPACITY.md: from docs/capacity.toml, the code's own bounds and the formulas of `roles`.

`figures` reads the file whole or names its faults; `formula` has formulas that know their own text; `places` derives
services and occasions; `roles` has needs, limits and what carries them; `bounds` what refuses the size today; `tables`
prints the page's tables, and `plot` draws. No I/O but in `__main__`.
"""
