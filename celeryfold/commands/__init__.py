"""The implementation of each command of the command line."""
