//! The thread that writes to the data folder.

use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use chicory_consensus::{Entry, HardState, Snapshot};
use chicory_storage::{DataFolder, FolderIdentity, GroupStorage, StorageError};
use chicory_types::LogIndex;
use slog::{Logger, error, info};
use snafu::ResultExt;
use tokio::sync::mpsc::UnboundedSender;

use super::site_input::SiteInput;
use super::site_process_error::ThreadSnafu;
use super::{SiteProcessConfig, SiteProcessError};
use crate::SiteEvent;

/// Pause between attempts to open a data folder; a full disk may get free space at any time.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);
/// Name of the site's group in the data folder.
const GROUP: &str = "site-1";
/// File that marks a data folder as first opened by a founder of the group.
const FOUNDER_FILE: &str = "founder";
const IDENTITY_FILE: &str = "identity";

/// Work for the storage thread.
pub(super) enum StorageJob {
    /// Open the data folder, with retries until it works.
    Open,
    /// Make state durable.
    Persist {
        ticket: u64,
        hard_state: Option<HardState>,
        truncate_from: Option<LogIndex>,
        snapshot: Option<Snapshot>,
        entries: Vec<Entry>,
    },
}

/// Starts the storage thread, which ends when the returned sender is dropped.
pub(super) fn start(
    config: SiteProcessConfig,
    inbox: UnboundedSender<SiteInput>,
    logger: Logger,
) -> Result<mpsc::Sender<StorageJob>, SiteProcessError> {
    let (sender, jobs) = mpsc::channel();
    let worker = StorageWorker {
        config,
        inbox,
        logger,
        storage: None,
    };
    thread::Builder::new()
        .name("storage".into())
        .spawn(move || worker.run(&jobs))
        .context(ThreadSnafu)?;
    Ok(sender)
}

struct StorageWorker {
    config: SiteProcessConfig,
    inbox: UnboundedSender<SiteInput>,
    logger: Logger,
    storage: Option<GroupStorage>,
}

impl StorageWorker {
    fn run(mut self, jobs: &mpsc::Receiver<StorageJob>) {
        while let Ok(job) = jobs.recv() {
            let event = match job {
                StorageJob::Open => self.open_with_retries(),
                StorageJob::Persist {
                    ticket,
                    hard_state,
                    truncate_from,
                    snapshot,
                    entries,
                } => self.persist(ticket, hard_state, truncate_from, snapshot, entries),
            };
            if self.inbox.send(SiteInput::Event(event)).is_err() {
                return;
            }
        }
    }

    fn persist(
        &mut self,
        ticket: u64,
        hard_state: Option<HardState>,
        truncate_from: Option<LogIndex>,
        snapshot: Option<Snapshot>,
        entries: Vec<Entry>,
    ) -> SiteEvent {
        let Some(storage) = &mut self.storage else {
            return SiteEvent::PersistFailed { ticket };
        };
        match storage.persist(hard_state, truncate_from, entries, snapshot) {
            Ok(()) => SiteEvent::Persisted { ticket },
            Err(failure) => {
                error!(self.logger, "write to data folder failed"; "error" => %failure,
                    "ticket" => ticket);
                self.storage = None;
                SiteEvent::PersistFailed { ticket }
            }
        }
    }

    fn open_with_retries(&mut self) -> SiteEvent {
        loop {
            self.storage = None;
            match self.open() {
                Ok(event) => return event,
                Err(failure) => {
                    error!(self.logger, "data folder can't be opened"; "error" => %failure,
                        "retry_in" => ?REOPEN_PAUSE);
                    thread::sleep(REOPEN_PAUSE);
                }
            }
        }
    }

    fn open(&mut self) -> Result<SiteEvent, StorageError> {
        let dir = self.config.data_dir.clone();
        let is_founder =
            ensure_founder_marker(&dir, self.config.is_first_start).map_err(|source| {
                StorageError::Folder {
                    path: dir.clone(),
                    source,
                }
            })?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let identity = FolderIdentity {
            cluster: self.config.cluster.clone(),
            vm: self.config.vm.clone(),
            zone: self.config.zone.clone(),
            incarnation: since_epoch.map_or(1, |since| {
                u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
            }),
        };
        let folder = DataFolder::open(&dir, &identity)?;
        let (storage, restored) = GroupStorage::open(folder.disk(), folder.identity(), GROUP)?;
        if let Some(damage) = storage.damage() {
            error!(self.logger, "data folder was damaged"; "damage" => %damage);
        }
        let incarnation = storage.incarnation();
        info!(self.logger, "data folder opened"; "incarnation" => incarnation,
            "is_founder" => is_founder, "entries" => restored.entries.len());
        self.storage = Some(storage);
        Ok(SiteEvent::StorageOpened {
            incarnation,
            restored,
            is_founder,
        })
    }
}

/// Returns whether the data folder belongs to a founder. The folder of a founder is marked before
/// anything else is written, so that a founder that ends early is still one after its next start.
fn ensure_founder_marker(dir: &Path, is_first_start: bool) -> io::Result<bool> {
    let marker = dir.join(FOUNDER_FILE);
    if marker.try_exists()? {
        return Ok(true);
    }
    if !is_first_start || dir.join(IDENTITY_FILE).try_exists()? {
        return Ok(false);
    }
    fs::create_dir_all(dir)?;
    File::create(&marker)?.sync_all()?;
    File::open(dir)?.sync_all()?;
    Ok(true)
}
