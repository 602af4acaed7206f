//! Roles of processes and operators within the cluster.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;

/// The role of a certificate's holder, which determines what it may do within the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerRole {
    /// An entry process.
    Entry,
    /// A control process.
    Control,
    /// An operator with the command line tool; may open connections but not accept them.
    Operator,
}

impl PeerRole {
    /// Returns the name used in certificates and on the command line.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
            Self::Operator => "operator",
        }
    }
}

impl fmt::Display for PeerRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text isn't the name of a role.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("roles are entry, control and operator"))]
pub struct UnknownPeerRole;

impl FromStr for PeerRole {
    type Err = UnknownPeerRole;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "entry" => Ok(Self::Entry),
            "control" => Ok(Self::Control),
            "operator" => Ok(Self::Operator),
            _ => Err(UnknownPeerRole),
        }
    }
}
