//! The state of the backend servers that this process dispatches to, and observations of all
//! others.

mod admission;
mod connection;
mod connection_break;
mod connection_pool;
mod connection_state;
mod dispatcher_location;
mod fair_queue;
mod grant_registry;
mod next_step;
mod queue_entry;
mod report_schedule;
mod server_health;
mod server_limits;
mod server_observation;
mod server_state;
mod service_time;
mod suspicion;

pub(crate) use admission::Admission;
pub(crate) use connection::Connection;
pub(crate) use connection_break::ConnectionBreak;
pub(crate) use connection_pool::ConnectionPool;
pub(crate) use connection_state::ConnectionState;
pub(crate) use dispatcher_location::DispatcherLocation;
pub(crate) use fair_queue::FairQueue;
pub(crate) use fair_queue::FlowId;
pub(crate) use grant_registry::GrantRegistry;
pub(crate) use next_step::NextStep;
pub(crate) use queue_entry::QueueEntry;
pub(crate) use report_schedule::ReportSchedule;
pub(crate) use server_health::ServerHealth;
pub(crate) use server_limits::ServerLimits;
pub(crate) use server_observation::ServerObservation;
pub(crate) use server_state::ServerState;
pub(crate) use service_time::ServiceTime;
pub(crate) use suspicion::Suspicion;
