//! The demonstration: keyed requests, an order, its resend, and the loss of two processes.

mod demo_run;

pub use demo_run::{DemoSettings, run_demo};
