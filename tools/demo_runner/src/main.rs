//! Starts a small deployment on loopback and checks its outcomes.

fn main() {}
