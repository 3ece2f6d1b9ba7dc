"""Answers for support engineers and operators."""
