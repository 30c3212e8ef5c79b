"""Paxos Commit (Gray and Lamport 2006) for the ownership table."""
