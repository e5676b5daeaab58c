"""Load, faults and measures, run against the stand-ins."""
