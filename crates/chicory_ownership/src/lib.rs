//! Custody, slot assignment, placement, leases and order claims as state machines.
