//! A disk in memory that fails on demand.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::Disk;

/// The content of a file, and the part of it that survives a crash.
#[derive(Clone, Debug, Default)]
struct Inode {
    data: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Debug, Default)]
struct DiskState {
    inodes: BTreeMap<u64, Inode>,
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    next_inode: u64,
    capacity_bytes: Option<u64>,
    syncs_until_failure: Option<u64>,
    sync_count: u64,
}

/// A disk in memory that can lose unsynced data, run out of space, fail to sync, and have its files
/// damaged.
///
/// Clones share the same files, so that a test keeps one handle while a storage owns another one.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    state: Arc<Mutex<DiskState>>,
}

impl MemoryDisk {
    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Simulates a crash: drops everything that was not synced, except for the first `kept_bytes`
    /// of the unsynced end of each file, and cancels a pending sync failure.
    pub fn crash(&self, kept_bytes: usize) {
        self.crash_keeping(kept_bytes, |_| false);
    }

    /// Simulates a crash like [`crash`](Self::crash), except that each name that was created, renamed
    /// or removed without a sync of its directory stays as it is if `keeps` returns `true` for it.
    pub fn crash_keeping(&self, kept_bytes: usize, keeps: impl Fn(&str) -> bool) {
        let mut state = self.state();
        state.syncs_until_failure = None;
        let mut names = state.durable_names.clone();
        names.retain(|path, _| state.names.contains_key(path) || !keeps(path));
        let kept = state.names.iter().filter(|(path, _)| keeps(path));
        names.extend(kept.map(|(path, inode)| (path.clone(), *inode)));
        state.durable_names.clone_from(&names);
        state.names = names;
        for inode in state.inodes.values_mut() {
            let durable = inode.synced.len();
            let end = durable.saturating_add(kept_bytes).min(inode.data.len());
            if inode.data.starts_with(&inode.synced) {
                inode.data.truncate(end);
            } else {
                inode.data = inode.synced.clone();
            }
            inode.synced = inode.data.clone();
        }
    }

    /// Makes appends fail once the files hold this many bytes in total; `None` means no limit.
    pub fn set_capacity_bytes(&self, capacity_bytes: Option<u64>) {
        self.state().capacity_bytes = capacity_bytes;
    }

    /// Lets this many file syncs succeed, then makes one fail.
    pub fn fail_sync_after(&self, successes: u64) {
        self.state().syncs_until_failure = Some(successes);
    }

    /// Returns the number of file syncs so far.
    #[must_use]
    pub fn sync_count(&self) -> u64 {
        self.state().sync_count
    }

    /// Returns the paths of all files with their sizes in bytes.
    #[must_use]
    pub fn files(&self) -> Vec<(String, usize)> {
        let state = self.state();
        let sizes = state.names.iter().filter_map(|(path, inode)| {
            let inode = state.inodes.get(inode)?;
            Some((path.clone(), inode.data.len()))
        });
        sizes.collect()
    }

    /// Changes the durable data of a file by `change`.
    pub fn edit(&self, path: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.state();
        if let Some(inode) = state.inode_mut(path) {
            change(&mut inode.data);
            inode.synced = inode.data.clone();
        }
    }

    /// Returns a disk with copies of the files; later changes to one disk don't affect the other.
    #[must_use]
    pub fn duplicate(&self) -> Self {
        let state = self.state();
        let copy = DiskState {
            inodes: state.inodes.clone(),
            names: state.names.clone(),
            durable_names: state.durable_names.clone(),
            next_inode: state.next_inode,
            ..DiskState::default()
        };
        Self {
            state: Arc::new(Mutex::new(copy)),
        }
    }
}

impl DiskState {
    fn inode_mut(&mut self, path: &str) -> Option<&mut Inode> {
        let inode = self.names.get(path)?;
        self.inodes.get_mut(inode)
    }

    fn create(&mut self, path: &str) {
        if !self.names.contains_key(path) {
            self.next_inode += 1;
            self.names.insert(path.to_owned(), self.next_inode);
            self.inodes.insert(self.next_inode, Inode::default());
        }
    }

    fn free_bytes(&self) -> usize {
        let Some(capacity) = self.capacity_bytes else {
            return usize::MAX;
        };
        let used: usize = self.inodes.values().map(|inode| inode.data.len()).sum();
        let capacity = usize::try_from(capacity).unwrap_or(usize::MAX);
        capacity.saturating_sub(used)
    }

    /// Counts a sync and returns whether it is the one that fails.
    fn count_sync_until_failure(&mut self) -> bool {
        match self.syncs_until_failure {
            Some(0) => {
                self.syncs_until_failure = None;
                true
            }
            Some(left) => {
                self.syncs_until_failure = Some(left - 1);
                false
            }
            None => false,
        }
    }
}

fn not_found() -> io::Error {
    io::Error::from(io::ErrorKind::NotFound)
}

impl Disk for MemoryDisk {
    fn create_dir(&mut self, _dir: &str) -> io::Result<()> {
        Ok(())
    }

    fn list(&self, dir: &str) -> io::Result<Vec<String>> {
        let state = self.state();
        let prefix = format!("{dir}/");
        let names = state
            .names
            .keys()
            .filter_map(|path| path.strip_prefix(&prefix));
        Ok(names.map(str::to_owned).collect())
    }

    fn read(&self, path: &str) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        let inode = state.inode_mut(path).ok_or_else(not_found)?;
        Ok(inode.data.clone())
    }

    fn append(&mut self, path: &str, data: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.create(path);
        let written = data.len().min(state.free_bytes());
        let inode = state.inode_mut(path).ok_or_else(not_found)?;
        inode.data.extend_from_slice(&data[..written]);
        if written < data.len() {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }

    fn truncate(&mut self, path: &str, len_bytes: u64) -> io::Result<()> {
        let mut state = self.state();
        let inode = state.inode_mut(path).ok_or_else(not_found)?;
        inode
            .data
            .truncate(usize::try_from(len_bytes).unwrap_or(usize::MAX));
        Ok(())
    }

    fn sync(&mut self, path: &str) -> io::Result<()> {
        let mut state = self.state();
        state.sync_count += 1;
        if state.count_sync_until_failure() {
            return Err(io::Error::other("injected sync failure"));
        }
        let inode = state.inode_mut(path).ok_or_else(not_found)?;
        inode.synced = inode.data.clone();
        Ok(())
    }

    fn sync_dir(&mut self, dir: &str) -> io::Result<()> {
        let mut state = self.state();
        let prefix = format!("{dir}/");
        let is_inside = |path: &String| path.starts_with(&prefix);
        let names = state.names.clone();
        state.durable_names.retain(|path, _| !is_inside(path));
        let inside = names.into_iter().filter(|(path, _)| is_inside(path));
        state.durable_names.extend(inside);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        let inode = state.names.remove(from).ok_or_else(not_found)?;
        state.names.insert(to.to_owned(), inode);
        Ok(())
    }

    fn remove(&mut self, path: &str) -> io::Result<()> {
        let mut state = self.state();
        state.names.remove(path).map(|_| ()).ok_or_else(not_found)
    }
}
