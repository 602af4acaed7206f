//! The caller: makes load at a closed or open loop and keeps to the callers' protocol.
