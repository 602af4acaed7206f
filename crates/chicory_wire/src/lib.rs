//! Protocol buffers messages between the processes and their conversions.
