//! The time that a backend server takes for a request.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

/// The time that a backend server takes for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceTime {
    /// Always the same time.
    Fixed(Duration),
    /// Exponentially distributed with this mean.
    Exponential(Duration),
}

impl ServiceTime {
    /// Draws the time of one request.
    pub fn draw(self, rng: &mut SmallRng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::Exponential(mean) => {
                let uniform: f64 = rng.random();
                mean.mul_f64(-(1.0 - uniform).ln())
            }
        }
    }
}
