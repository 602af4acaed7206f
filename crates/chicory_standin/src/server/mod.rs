//! The backend server: announces itself, gets fenced grants, runs requests, and simulates faults on
//! request.

mod announce_message;
mod announcer;
mod answer_body;
mod answer_mode;
mod behaviour;
mod client;
mod command;
mod config;
mod control;
mod gate;
mod gated_io;
mod grants;
mod listener;
mod run_guard;
mod server_state;
mod service_time;
mod work;

pub use announce_message::{AnnounceAnswer, AnnounceRequest, GrantMessage};
pub use answer_mode::AnswerMode;
pub use behaviour::{Behaviour, BehaviourRequest};
pub use client::{ClientError, HttpAnswer, send_once};
pub use command::{command, run};
pub use config::{ServerConfig, ServerConfigBuilder};
pub use grants::{Admission, Grants};
pub use listener::{StandinServer, StartError, start_server};
pub use server_state::ServerState;
pub use service_time::ServiceTime;
