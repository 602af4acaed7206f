//! An entry process in a zone on loopback: a fake control process, fake backend servers, callers.

mod bodies;
mod listeners;
mod requests;
mod support;
