//! Losses that are to be borne and are not.

use snafu::Snafu;

/// A loss that is to be borne according to the settings, and that no control group of the allowed
/// size bears.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ToleranceShortfall {
    /// Too many control VMs.
    #[snafu(display(
        "the loss of {wanted_count} control VMs is not borne, only that of {tolerated_count}"
    ))]
    Vms {
        /// Number of control VMs that may be lost at once.
        wanted_count: usize,
        /// Number whose loss is borne.
        tolerated_count: usize,
    },
    /// Too few availability zones: one of them holds too many voters.
    #[snafu(display(
        "the loss of {wanted_count} of {zone_total} availability zones is not borne by \
         {voter_count} voters"
    ))]
    Zones {
        /// Number of availability zones that may be lost at once.
        wanted_count: usize,
        /// Number of availability zones.
        zone_total: usize,
        /// Number of voters.
        voter_count: usize,
    },
    /// Too few regions: one of them may hold too many voters.
    #[snafu(display(
        "the loss of {wanted_count} regions is not borne by {voter_count} voters in these zones"
    ))]
    Regions {
        /// Number of regions that may be lost at once.
        wanted_count: usize,
        /// Number of voters.
        voter_count: usize,
    },
}
