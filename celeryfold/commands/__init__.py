"""What each command of the command line does."""
