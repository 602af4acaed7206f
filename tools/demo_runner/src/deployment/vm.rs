//! One VM of a deployment.

use std::net::SocketAddr;

use super::ports::Ports;
use crate::RunnerError;

/// What the process of a VM does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes requests.
    Entry,
    /// Holds replicated state; with a data folder also that of the global group.
    Control {
        /// Whether it is in the global group.
        is_global: bool,
    },
}

impl Role {
    /// Name of the role in certificates.
    pub fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control { .. } => "control",
        }
    }
}

/// One VM of a deployment and its addresses.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// What it does.
    pub role: Role,
    /// Address for other processes.
    pub peer: SocketAddr,
    /// Address for metrics and health.
    pub admin: SocketAddr,
    /// Address for callers, of an entry VM.
    pub listen: SocketAddr,
    /// Address for announcements, of an entry VM.
    pub announce: SocketAddr,
}

impl Vm {
    /// Creates a VM with free addresses.
    ///
    /// # Errors
    ///
    /// [`RunnerError::Unexpected`] if there is no free port.
    pub fn new(
        name: String,
        zone: &str,
        role: Role,
        ports: &mut Ports,
    ) -> Result<Self, RunnerError> {
        Ok(Self {
            name,
            zone: zone.to_owned(),
            role,
            peer: ports.take()?,
            admin: ports.take()?,
            listen: ports.take()?,
            announce: ports.take()?,
        })
    }

    /// Whether it is a control VM.
    pub fn is_control(&self) -> bool {
        matches!(self.role, Role::Control { .. })
    }

    /// Whether it is in the global group.
    pub fn is_global(&self) -> bool {
        self.role == Role::Control { is_global: true }
    }
}
