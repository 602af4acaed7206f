//! The HTTP protocol towards backend servers.

mod answer_observer;
mod probe;
mod server_answer;
mod server_request;

pub(crate) use answer_observer::{AnswerObserver, AnswerSource};
pub(crate) use probe::probe;
pub(crate) use server_answer::{echo_of, has_stated_length, refusal_of, says_reusable};
pub(crate) use server_request::{WriteTerms, server_request};
