//! Conversions of what the leader tells entry VMs about the load of backend servers.

use std::ops::RangeInclusive;

use chicory_directory::{AdmittedFraction, ServerShare, ServiceShares, StatedLoad};

use crate::ConvertError;
use crate::convert_error::required;
use crate::proto::site;
use crate::record_macro::convert_record;

/// Bounds of a number of slots; a server that states more is not expected.
const SLOTS_BOUNDS: RangeInclusive<f64> = 0.0..=1e6;
/// Bounds of a relative speed; they keep times that follow from it finite.
const SPEED_BOUNDS: RangeInclusive<f64> = 0.001..=1e3;
/// Bounds of the processor cores of a VM.
const CPU_SHARE_BOUNDS: RangeInclusive<f64> = 0.001..=1e4;

convert_record!(
    ServiceShares,
    site::ServiceShares {
        plain: [service],
        nested: [],
        list: [shares],
    }
);

convert_record!(
    StatedLoad,
    site::StatedLoad {
        plain: [running, waiting, slots, work_time_percent],
        nested: [],
        list: [],
    }
);

impl From<ServerShare> for site::ServerShare {
    fn from(share: ServerShare) -> Self {
        Self {
            life: Some(share.incarnation.into()),
            slots: share.slots,
            speed: share.speed,
        }
    }
}

impl TryFrom<site::ServerShare> for ServerShare {
    type Error = ConvertError;

    fn try_from(message: site::ServerShare) -> Result<Self, ConvertError> {
        Ok(Self {
            incarnation: required(message.life, "server_share.life")?.try_into()?,
            slots: within(message.slots, SLOTS_BOUNDS, "server_share.slots")?,
            speed: within(message.speed, SPEED_BOUNDS, "server_share.speed")?,
        })
    }
}

impl From<AdmittedFraction> for site::AdmittedFraction {
    fn from(admitted: AdmittedFraction) -> Self {
        Self {
            life: Some(admitted.incarnation.into()),
            fraction: admitted.fraction,
        }
    }
}

impl TryFrom<site::AdmittedFraction> for AdmittedFraction {
    type Error = ConvertError;

    fn try_from(message: site::AdmittedFraction) -> Result<Self, ConvertError> {
        Ok(Self {
            incarnation: required(message.life, "admitted_fraction.life")?.try_into()?,
            fraction: within(message.fraction, 0.0..=1.0, "admitted_fraction.fraction")?,
        })
    }
}

/// Returns the processor cores that an entry VM states.
pub(crate) fn stated_cpu_share(cpu_share: Option<f64>) -> Result<Option<f64>, ConvertError> {
    let field = "entry_hello.cpu_share";
    let checked = cpu_share.map(|cores| within(cores, CPU_SHARE_BOUNDS, field));
    checked.transpose()
}

fn within(
    number: f64,
    bounds: RangeInclusive<f64>,
    field: &'static str,
) -> Result<f64, ConvertError> {
    if bounds.contains(&number) {
        Ok(number)
    } else {
        Err(ConvertError::OutOfRange { field })
    }
}
