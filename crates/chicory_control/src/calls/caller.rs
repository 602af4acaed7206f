//! The sender of a call, as identified by its certificate.

use chicory_types::{OperatorName, VmId};
use serde::{Deserialize, Serialize};

/// The sender of a call, as identified by its certificate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// An entry process.
    Entry(VmId),
    /// A control process.
    Control(VmId),
    /// An operator.
    Operator(OperatorName),
}
