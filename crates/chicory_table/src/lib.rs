//! The table of weights and limits, its edits and its audit records.
