//! How large a deployment is.

/// Names of the availability zones, in order.
const ZONE_NAMES: [&str; 3] = ["taller-norte", "sala-anecoica", "bodega-sur"];

/// How large a deployment is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Availability zones, at most three.
    pub zones: usize,
    /// Control processes of each zone.
    pub controls: usize,
    /// Control processes of each zone that are in the global group.
    pub global_controls: usize,
    /// Entry processes of each zone.
    pub entries: usize,
}

impl Shape {
    /// Names of the zones.
    pub fn zone_names(self) -> impl Iterator<Item = &'static str> {
        ZONE_NAMES.into_iter().take(self.zones)
    }
}
