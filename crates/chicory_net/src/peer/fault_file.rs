//! A fault switch that is controlled by a file.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use crate::peer::FaultSwitch;

/// Interval at which the file is read again.
const RELOAD_PERIOD: Duration = Duration::from_millis(50);

/// A fault switch that is controlled by a file: each line is a blocked `IP` or `IP:PORT`.
///
/// Other lines are ignored, and a missing file blocks no peer.
#[derive(Debug, Default)]
pub struct FaultFile {
    blocked: RwLock<Blocked>,
}

#[derive(Debug, Default)]
struct Blocked {
    hosts: BTreeSet<IpAddr>,
    addresses: BTreeSet<SocketAddr>,
}

impl FaultFile {
    /// Creates a switch that reads the file again periodically.
    ///
    /// Must be called within a tokio runtime.
    #[must_use]
    pub fn follow(path: PathBuf) -> Arc<Self> {
        let switch = Arc::new(Self::default());
        let weak_switch = Arc::downgrade(&switch);
        tokio::spawn(async move {
            while let Some(switch) = weak_switch.upgrade() {
                let content = tokio::fs::read_to_string(&path).await.unwrap_or_default();
                switch.set(&content);
                drop(switch);
                tokio::time::sleep(RELOAD_PERIOD).await;
            }
        });
        switch
    }

    /// Replaces the blocked peers by those in the content of a file.
    pub fn set(&self, content: &str) {
        let mut blocked = Blocked::default();
        for line in content.lines().map(str::trim) {
            if let Ok(address) = line.parse::<SocketAddr>() {
                blocked.addresses.insert(address);
            } else if let Ok(host) = line.parse::<IpAddr>() {
                blocked.hosts.insert(host);
            }
        }
        *self.blocked.write().unwrap_or_else(PoisonError::into_inner) = blocked;
    }
}

impl FaultSwitch for FaultFile {
    fn is_blocked(&self, peer: SocketAddr) -> bool {
        let blocked = self.blocked.read().unwrap_or_else(PoisonError::into_inner);
        blocked.addresses.contains(&peer) || blocked.hosts.contains(&peer.ip())
    }
}
