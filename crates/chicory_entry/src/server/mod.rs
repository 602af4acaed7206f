//! The HTTP protocol towards backend servers.

mod answer_observer;
mod probe;
mod server_answer;
mod server_request;

pub(crate) use answer_observer::{AnswerObserver, AnswerSource};
pub(crate) use probe::probe;
pub(crate) use server_answer::{allows_reuse, has_stated_length, refusal_of, request_id_echo};
pub(crate) use server_request::{WriteParams, server_request};
