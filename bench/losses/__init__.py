"""Attributes the worth that a simulated day lost: reads a report of the users' bench and prints shares of the loss that
add up to one.
"""
