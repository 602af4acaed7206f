//! Runs the soak once for each seed of the command line.

use std::process::ExitCode;
use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use soak::{Options, Run};

fn main() -> ExitCode {
    let options = Options::from_command_line();
    let runtime = tokio::runtime::Runtime::new();
    let failed = match runtime {
        Ok(runtime) => runtime.block_on(run_until_stopped(options)),
        Err(failure) => {
            eprintln!("can't start the async runtime: {failure}");
            return ExitCode::FAILURE;
        }
    };
    if failed.is_empty() {
        println!("all seeds kept the guarantees");
        return ExitCode::SUCCESS;
    }
    println!("seeds with violated guarantees: {failed:?}");
    ExitCode::FAILURE
}

/// Runs all seeds, or stops early on an interrupt or a termination signal. The processes that the
/// runs started are killed in both cases. Returns the seeds that failed; on an early stop all of
/// them, as it isn't known which would have passed.
async fn run_until_stopped(options: Options) -> Vec<u64> {
    let seeds = options.seeds.clone();
    let stop_requested = async {
        let kinds = [SignalKind::interrupt(), SignalKind::terminate()];
        let [interrupt, terminate] = kinds.map(signal);
        let (Ok(mut interrupt), Ok(mut terminate)) = (interrupt, terminate) else {
            return std::future::pending().await;
        };
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    };
    tokio::select! {
        failed = run_all(options) => failed,
        () = stop_requested => {
            println!("stopped by a signal; not all of these seeds were run");
            seeds
        }
    }
}

/// Runs all seeds, at most `jobs` at the same time. Returns those that failed.
async fn run_all(options: Options) -> Vec<u64> {
    let permits = Arc::new(Semaphore::new(options.jobs));
    let options = Arc::new(options);
    let mut runs = JoinSet::new();
    let seeds = options.seeds.clone().into_iter();
    let plays = seeds.flat_map(|seed| (0..options.repetitions).map(move |number| (seed, number)));
    for (index, (seed, repetition)) in plays.enumerate() {
        let permits = permits.clone();
        let options = options.clone();
        runs.spawn(async move {
            let permit = permits.acquire_owned().await;
            let outcome = Run::execute(&options, index, seed, repetition).await;
            drop(permit);
            match outcome {
                Ok(run_result) => {
                    println!("{run_result}");
                    let is_known = options.known_entry_cuts.contains(&seed);
                    let has_failed = if is_known {
                        run_result.has_other_violations()
                    } else {
                        !run_result.violations.is_empty()
                    };
                    (!has_failed).then_some(()).ok_or(seed)
                }
                Err(failure) => {
                    println!("seed {seed}: could not be run: {failure}");
                    Err(seed)
                }
            }
        });
    }
    let ended = runs.join_all().await;
    ended.into_iter().filter_map(Result::err).collect()
}
