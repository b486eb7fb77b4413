//! Longest-prefix table from client blocks to regions.
