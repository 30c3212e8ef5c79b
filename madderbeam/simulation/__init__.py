"""The courier's own code under deterministic simulation: one seed, virtual time, scripted faults.

A run is a pure function of its script; a script is drawn from a seed or read from a file. The courier's host,
transport, journal and decision module are the ones of the real process; clock, network and disk are fakes of
the ports in `madderbeam.ports`, and the loop is virtual. What crosses wires and disks is judged by
`madderbeam.simulation.checker`, which knows nothing of the courier's own state.
"""
