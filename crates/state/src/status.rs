//! The plain status text.
