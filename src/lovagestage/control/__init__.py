"""Reading, appending and agreeing on the log."""
