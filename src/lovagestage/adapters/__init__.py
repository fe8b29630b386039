"""Everything outside, behind protocols."""
