"""HTTP/1.1 connections: a pipelining server and a strict client."""
