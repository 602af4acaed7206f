//! The control process: the replicated global and zone groups.
