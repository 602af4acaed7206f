//! Who made a call, as its certificate says.

use chicory_types::{OperatorName, VmId};
use serde::{Deserialize, Serialize};

/// Who made a call, as its certificate says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// An entry process.
    Entry(VmId),
    /// A control process.
    Control(VmId),
    /// An operator.
    Operator(OperatorName),
}
