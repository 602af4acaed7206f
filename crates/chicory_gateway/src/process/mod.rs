//! The I/O of an entry process: callers, backend servers, and the link to the control VMs.

mod answer;
mod answer_observer;
mod attempt;
mod caller_handler;
mod connection_pool;
mod control_vm_dialer;
mod control_vm_search;
mod directory_link;
mod gateway_metric;
mod gateway_process;
mod gateway_process_config;
mod gateway_process_error;
mod interfaces;
mod line_budget;
mod loss_cause;
mod request_guard;
mod request_log;
mod search_cause;
mod shared_state;

pub use gateway_metric::GatewayMetric;
pub use gateway_process::GatewayProcess;
pub use gateway_process_config::GatewayProcessConfig;
pub use gateway_process_error::GatewayProcessError;
pub use interfaces::{AnswerClass, CallerInterface, ServerInterface};
