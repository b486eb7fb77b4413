//! Subcommands of `medlarctl`.

pub mod load;
