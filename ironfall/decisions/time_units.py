"""Units of the engine's clock, which counts tenths of a millisecond as an integer."""

MICROSECONDS_PER_TICK = 100
TICKS_PER_MS = 10
SECOND = 1000 * TICKS_PER_MS
# Health is evaluated at this interval; tables are computed at every second evaluation.
UPDATE_INTERVAL = SECOND // 2
