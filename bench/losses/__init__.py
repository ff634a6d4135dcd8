"""Where a played day's worth went: reads a report of the users' bench and prints shares that add up to one."""
