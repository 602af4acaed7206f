//! What may be lost at once, and the control group that bears it.

use std::collections::BTreeMap;

use chicory_types::{RegionName, ZoneName};

use super::ToleranceShortfall;

/// Least number of voters: three tolerate the loss of one.
pub(crate) const MIN_VOTER_COUNT: usize = 3;
/// Largest number of voters; each one adds to the cost of every change.
pub(crate) const MAX_VOTER_COUNT: usize = 7;

/// What may be lost at once without loss of service: that many control VMs, or availability zones,
/// or regions.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
/// use chicory_site::FaultTolerance;
///
/// let zones = ["a", "b", "c", "d", "e"].map(|zone| (zone.to_owned(), "region".to_owned()));
/// let tolerance = FaultTolerance { vm_count: 2, zone_count: 1, region_count: 0 };
/// let plan = tolerance.voter_plan(&BTreeMap::from(zones));
/// assert_eq!(plan.voter_count, 5);
/// assert!(plan.shortfalls.is_empty());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Number of control VMs.
    pub vm_count: usize,
    /// Number of availability zones.
    pub zone_count: usize,
    /// Number of regions.
    pub region_count: usize,
}

impl Default for FaultTolerance {
    /// One control VM or one availability zone.
    fn default() -> Self {
        Self {
            vm_count: 1,
            zone_count: 1,
            region_count: 0,
        }
    }
}

/// Size of the control group that bears a [`FaultTolerance`] as far as possible.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterPlan {
    /// Number of voters.
    pub voter_count: usize,
    /// What the group does not bear.
    pub shortfalls: Vec<ToleranceShortfall>,
}

impl FaultTolerance {
    /// Returns the smallest group that bears these losses, with its voters spread evenly over
    /// `zones`, which maps each availability zone to its region. Losses of zones and regions are
    /// not checked if no zones are given.
    #[must_use]
    pub fn voter_plan(&self, zones: &BTreeMap<ZoneName, RegionName>) -> VoterPlan {
        let needed_for_vms = self.vm_count.saturating_mul(2).saturating_add(1);
        let least = needed_for_vms.clamp(MIN_VOTER_COUNT, MAX_VOTER_COUNT);
        let sizes = (least..=MAX_VOTER_COUNT).step_by(2);
        let mut plans = sizes.map(|voter_count| VoterPlan {
            voter_count,
            shortfalls: self.shortfalls(voter_count, zones),
        });
        let smallest = VoterPlan {
            voter_count: least,
            shortfalls: self.shortfalls(least, zones),
        };
        plans
            .find(|plan| plan.shortfalls.is_empty())
            .unwrap_or(smallest)
    }

    fn shortfalls(
        &self,
        voter_count: usize,
        zones: &BTreeMap<ZoneName, RegionName>,
    ) -> Vec<ToleranceShortfall> {
        let tolerated_count = (voter_count - 1) / 2;
        let mut shortfalls = Vec::new();
        if self.vm_count > tolerated_count {
            shortfalls.push(ToleranceShortfall::Vms {
                wanted_count: self.vm_count,
                tolerated_count,
            });
        }
        if zones.is_empty() {
            return shortfalls;
        }
        let per_zone = voter_count.div_ceil(zones.len());
        if self.zone_count.saturating_mul(per_zone) > tolerated_count {
            shortfalls.push(ToleranceShortfall::Zones {
                wanted_count: self.zone_count,
                zone_total: zones.len(),
                voter_count,
            });
        }
        let per_region = largest_region(zones) * per_zone;
        if self.region_count.saturating_mul(per_region) > tolerated_count {
            shortfalls.push(ToleranceShortfall::Regions {
                wanted_count: self.region_count,
                voter_count,
            });
        }
        shortfalls
    }
}

/// Returns the number of availability zones in the region that has most of them.
fn largest_region(zones: &BTreeMap<ZoneName, RegionName>) -> usize {
    let mut sizes: BTreeMap<&RegionName, usize> = BTreeMap::new();
    for region in zones.values() {
        *sizes.entry(region).or_default() += 1;
    }
    sizes.into_values().max().unwrap_or(0)
}
