"""Commands for operators and support engineers: status, explain and timeline."""
