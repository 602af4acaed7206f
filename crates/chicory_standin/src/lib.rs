//! Development stand-ins: a backend server, a caller that makes load, and a checker of their
//! histories.
//!
//! The product is judged by what callers and backend servers saw. These stand-ins write that down
//! as JSON lines, and the checker reads nothing else, so it can judge any run of any router that
//! speaks the same protocols.

pub mod check;
pub mod history;
pub mod http;
pub mod load;
pub mod options;
pub mod server;
