//! Prints the memory that holds on slots take per slot, from long runs to the worst case in which
//! each slot is a run of its own.

use chicory_ownership::{RunMap, SlotHold};
use chicory_types::{FencingToken, SLOTS_PER_SERVICE, SlotRun};

const SERVICES: usize = 20;
const COPIES: usize = 10;
const SERVERS: u16 = 20;
/// Size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: usize = 4_096;

fn hold(server: u16, counter: u64) -> SlotHold {
    SlotHold {
        server: format!("archive-{server:02}"),
        token: FencingToken::new(1, counter),
        releasing_since: None,
    }
}

/// Returns holds in one run per server, with `hot` slots held separately.
fn holds(hot: u16) -> RunMap<SlotHold> {
    let mut holds = RunMap::default();
    let share = SLOTS_PER_SERVICE / SERVERS;
    for server in 0..SERVERS {
        let first = server * share;
        let run = SlotRun::new(first, first + share - 1);
        holds.set(run, hold(server, 1));
    }
    for number in 0..hot {
        let slot = u16::try_from(u32::from(number) * 16_384 / u32::from(hot)).unwrap_or(0);
        let run = SlotRun::new(slot, slot);
        holds.set(run, hold(number % SERVERS, u64::from(number) + 2));
    }
    holds
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn main() {
    println!("| slots apart | runs per service | bytes per slot | all {SERVICES} services |");
    println!("|---|---|---|---|");
    for hot in [0, 240, 2_000, SLOTS_PER_SERVICE] {
        let before = resident_bytes();
        let all: Vec<RunMap<SlotHold>> = (0..SERVICES * COPIES).map(|_| holds(hot)).collect();
        let bytes = resident_bytes().saturating_sub(before) / COPIES;
        let runs = all[0].len();
        let slots = SERVICES * usize::from(SLOTS_PER_SERVICE);
        let (whole, tenths) = (bytes / slots, bytes * 10 / slots % 10);
        println!(
            "| {hot} | {runs} | {whole}.{tenths} | {} KB |",
            bytes / 1_024
        );
    }
}
