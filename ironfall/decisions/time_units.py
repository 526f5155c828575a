"""Units of the decisions' clock, which counts whole tenths of a millisecond."""

SECOND = 10_000
# Health is evaluated at this interval, and tables are solved at every second evaluation.
UPDATE_INTERVAL = SECOND // 2
