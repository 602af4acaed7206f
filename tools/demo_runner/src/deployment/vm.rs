//! The VMs of a deployment.

use std::net::SocketAddr;

use super::ports::Ports;
use crate::RunnerError;

/// The role of the process of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Serves the requests of callers.
    Entry,
    /// Holds the replicated state of its zone.
    Control {
        /// Whether it is also a member of the global group, whose state is in a data folder.
        is_global: bool,
    },
}

impl Role {
    /// Returns the name of the role in certificates and program names.
    pub fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control { .. } => "control",
        }
    }
}

/// A VM of a deployment with its addresses.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Name of the VM and of its process.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Role of its process.
    pub role: Role,
    /// Address for other processes.
    pub peer: SocketAddr,
    /// Address for metrics and health.
    pub admin: SocketAddr,
    /// Address for callers; used by entry VMs only.
    pub listen: SocketAddr,
    /// Address for announcements of backend servers; used by entry VMs only.
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
            peer: ports.allocate()?,
            admin: ports.allocate()?,
            listen: ports.allocate()?,
            announce: ports.allocate()?,
        })
    }

    /// Returns whether it is a control VM.
    pub fn is_control(&self) -> bool {
        matches!(self.role, Role::Control { .. })
    }

    /// Returns whether it is a member of the global group.
    pub fn is_global(&self) -> bool {
        self.role == Role::Control { is_global: true }
    }
}
