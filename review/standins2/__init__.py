"""Stand-ins and helpers of the cases 6 and up."""
