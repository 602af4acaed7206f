//! Development stand-ins: a backend server, a caller that generates load, and a checker of the
//! histories that both write.
//!
//! Whether the product works is decided by what callers and backend servers observed. The stand-ins
//! record their observations as JSON lines. The checker reads nothing else, so it can check any run
//! of any router that speaks the same protocols.

pub mod check;
pub mod history;
pub mod http;
pub mod load;
pub mod options;
pub mod server;
