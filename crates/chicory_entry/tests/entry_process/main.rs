//! Tests of entry processes on loopback, with a fake control process, fake backend servers and
//! callers.

mod bodies;
mod listeners;
mod requests;
mod support;
