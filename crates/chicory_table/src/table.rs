//! The table in force at one revision.

use std::collections::BTreeMap;

use chicory_types::{Revision, ServerId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::{ServerOverride, ServicePolicy};

/// The table in force at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Revision of this content; every accepted edit raises it by one.
    pub revision: Revision,
    /// Policy of each service.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
    /// Overrides for single backend servers, by service.
    pub overrides: BTreeMap<ServiceName, BTreeMap<ServerId, ServerOverride>>,
}
