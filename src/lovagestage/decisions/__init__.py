"""Pure decisions, which read no clock and open no socket."""
