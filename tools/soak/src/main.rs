//! Plays seeds of the soak.

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
        Ok(runtime) => runtime.block_on(play_until_stopped(options)),
        Err(failure) => {
            eprintln!("can't start: {failure}");
            return ExitCode::FAILURE;
        }
    };
    if failed.is_empty() {
        println!("all seeds kept the promises");
        return ExitCode::SUCCESS;
    }
    println!("seeds with broken promises: {failed:?}");
    ExitCode::FAILURE
}

/// Plays all seeds unless it is asked to stop; either way the processes that were started end.
async fn play_until_stopped(options: Options) -> Vec<u64> {
    let seeds = options.seeds.clone();
    let asked_to_stop = async {
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
        failed = play(options) => failed,
        () = asked_to_stop => {
            println!("asked to stop; not all of these seeds were played");
            seeds
        }
    }
}

/// Plays all seeds, some at a time; those that failed.
async fn play(options: Options) -> Vec<u64> {
    let places = Arc::new(Semaphore::new(options.jobs));
    let options = Arc::new(options);
    let mut runs = JoinSet::new();
    for (index, seed) in options.seeds.clone().into_iter().enumerate() {
        let places = places.clone();
        let options = options.clone();
        runs.spawn(async move {
            let place = places.acquire_owned().await;
            let outcome = Run::play(&options, index, seed).await;
            drop(place);
            match outcome {
                Ok(verdict) => {
                    println!("{verdict}");
                    verdict.violations.is_empty().then_some(()).ok_or(seed)
                }
                Err(failure) => {
                    println!("seed {seed}: not played: {failure}");
                    Err(seed)
                }
            }
        });
    }
    let ended = runs.join_all().await;
    ended.into_iter().filter_map(Result::err).collect()
}
