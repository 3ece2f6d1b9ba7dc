"""Which upstream a request goes to, and whether a retry is allowed."""
