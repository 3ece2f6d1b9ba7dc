"""Stand-ins and helpers of the cases 6 to 10; the standard library suffices."""
