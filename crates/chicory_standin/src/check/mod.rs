//! The judge of a run, which reads histories and nothing else.
