//! Checksummed log segments and snapshots under one data folder.
