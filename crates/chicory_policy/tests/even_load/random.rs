//! Random numbers of the simulated load.

use std::f64::consts::TAU;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Draws the random numbers of one simulated load.
pub struct Random(StdRng);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    /// Returns a number between 0 and 1.
    pub fn fraction(&mut self) -> f64 {
        self.0.random_range(0.0..1.0)
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        self.0.random_range(low..high)
    }

    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.fraction()).ln()
    }

    /// Returns a log-normal number with mean 1 and the given standard deviation of its logarithm.
    pub fn log_normal(&mut self, spread: f64) -> f64 {
        let normal = (-2.0 * (1.0 - self.fraction()).ln()).sqrt() * (TAU * self.fraction()).cos();
        (spread * normal - spread * spread / 2.0).exp()
    }

    /// Returns an index at random, in proportion to the weights.
    pub fn weighted(&mut self, weights: &[f64]) -> usize {
        let total: f64 = weights.iter().sum();
        let mut rest = self.fraction() * total;
        for (index, weight) in weights.iter().enumerate() {
            rest -= weight;
            if rest < 0.0 {
                return index;
            }
        }
        weights.len() - 1
    }
}
