//! Checks which entry VMs are named to others as those that relay requests for them.

mod fleet;

mod changes;
mod lists;
