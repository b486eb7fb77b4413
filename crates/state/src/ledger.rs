//! Shares of limits and loans between daemons.
