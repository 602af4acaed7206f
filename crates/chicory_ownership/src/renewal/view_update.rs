//! Changes that bring a view up to date.

use chicory_types::ViewVersion;
use serde::{Deserialize, Serialize};

use crate::ViewChange;

/// Changes that bring a view up to date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// Version of the view after the changes.
    pub version: ViewVersion,
    /// The changes, in order.
    pub changes: Vec<ViewChange>,
}
