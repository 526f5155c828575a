"""The names that operators and peers rely on, as they were written down before the code's own names were changed."""
