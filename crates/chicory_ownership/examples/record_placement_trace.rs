//! Prints a heat trace for `compare_placement`: `record_placement_trace SEED HOT_SHARE_PERCENT`.
//!
//! The trace has seven servers and 2000 requests per second on 5461 slots. A share of the requests
//! goes to thirty hot slots according to Zipf's law. The hot slots change every five minutes; after
//! one change the load of one slot exceeds the fair share of a server. Servers join, leave and
//! return.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u16 = 5_461;
const TOTAL_PER_S: f64 = 2_000.0;
const HOT_SLOTS: usize = 30;
const SHIFT_EVERY_S: u32 = 300;
const SHIFTS: u32 = 6;
/// The shift in which one slot gets a fifth of all requests.
const PEAK_SHIFT: u32 = 3;
const PEAK_SHARE: f64 = 0.2;

fn main() {
    let mut args = std::env::args().skip(1);
    let mut number = |default| args.next().and_then(|a| a.parse().ok()).unwrap_or(default);
    let seed = number(1);
    let hot_share = f64::from(u32::try_from(number(40)).unwrap_or(40)) / 100.0;
    let mut rng = StdRng::seed_from_u64(seed);
    println!("slots {SLOTS}");
    for server in 0..7 {
        println!("0 join s{server:02}");
    }
    println!("0 base {:.0}", TOTAL_PER_S * (1.0 - hot_share));
    let mut hot: Vec<u16> = Vec::new();
    for shift in 0..SHIFTS {
        let at_s = shift * SHIFT_EVERY_S;
        for slot in hot.drain(..) {
            println!("{at_s} hot {slot} 0");
        }
        print_hot(&mut rng, at_s, shift, hot_share, &mut hot);
        print_servers(at_s, shift);
    }
    println!("{} end", SHIFTS * SHIFT_EVERY_S);
}

fn print_hot(rng: &mut StdRng, at_s: u32, shift: u32, hot_share: f64, hot: &mut Vec<u16>) {
    let weights: Vec<f64> = (1..=HOT_SLOTS).map(|rank| 1.0 / to_f64(rank)).collect();
    let sum: f64 = weights.iter().sum();
    for (rank, weight) in weights.iter().enumerate() {
        let slot = rng.random_range(0..SLOTS);
        if hot.contains(&slot) {
            continue;
        }
        let mut rate = TOTAL_PER_S * hot_share * weight / sum;
        if shift == PEAK_SHIFT && rank == 0 {
            rate = TOTAL_PER_S * PEAK_SHARE;
        }
        println!("{at_s} hot {slot} {rate:.0}");
        hot.push(slot);
    }
}

fn print_servers(at_s: u32, shift: u32) {
    match shift {
        1 => println!("{} join s07", at_s + 100),
        2 => println!("{} leave s02", at_s + 100),
        4 => println!("{} join s02\n{} leave s05", at_s + 50, at_s + 150),
        _ => {}
    }
}

fn to_f64(count: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "there are few ranks")]
    let number = count as f64;
    number
}
