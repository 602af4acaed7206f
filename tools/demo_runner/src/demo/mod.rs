//! The demonstration: keyed requests, an order, its resend, and the loss of a backend server and of
//! an entry process.

mod demo_run;

pub use demo_run::{DemoSettings, run_demo};
