"""Units of the engine's clock, which counts tenths of a millisecond as an integer."""

SECOND = 10_000
# Health is evaluated at this interval; tables are computed at every second evaluation.
UPDATE_INTERVAL = SECOND // 2
