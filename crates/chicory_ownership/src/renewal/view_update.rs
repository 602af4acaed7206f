//! Update of a view.

use chicory_types::ViewVersion;
use serde::{Deserialize, Serialize};

use crate::ViewChange;

/// Changes that bring the view of an entry process up to date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// Version of the view after the changes.
    pub version: ViewVersion,
    /// The changes, in order.
    pub changes: Vec<ViewChange>,
}
