//! The size of a deployment.

/// Names of the availability zones, in order.
const ZONE_NAMES: [&str; 3] = ["taller-norte", "sala-anecoica", "bodega-sur"];

/// The size of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeploymentSize {
    /// Number of availability zones, at most three.
    pub zones: usize,
    /// Number of control processes in each zone.
    pub controls: usize,
    /// Number of control processes in each zone that are members of the global group.
    pub global_controls: usize,
    /// Number of entry processes in each zone.
    pub entries: usize,
}

impl DeploymentSize {
    /// Returns the names of the zones.
    pub fn zone_names(self) -> impl Iterator<Item = &'static str> {
        ZONE_NAMES.into_iter().take(self.zones)
    }
}
