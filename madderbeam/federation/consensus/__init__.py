"""Paxos Commit (Gray and Lamport 2006) on the ownership table."""
