//! Finds the VM whose process has opened a connection.

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use socket2::{Domain, Protocol, Socket, Type};

use crate::cluster::Vm;

/// Address family and protocol of the kernel's socket diagnosis, and the type of its messages.
const NETLINK: i32 = 16;
const SOCK_DIAG: i32 = 4;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
/// Flag of a message that asks for something.
const REQUEST_FLAG: u16 = 1;
/// IPv4 and TCP, as a request names them.
const INET_TCP: [u8; 4] = [2, 6, 0, 0];
/// Length of a request with its header.
const REQUEST_BYTES: u32 = 72;
/// Where an answer holds the inode of the socket.
const INODE_OFFSET: usize = 84;

/// The process ids of the VMs of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct SocketOwners {
    process_ids: Arc<Mutex<BTreeMap<Vm, u32>>>,
    has_found: Arc<AtomicBool>,
}

impl SocketOwners {
    /// Records that the process of a VM was started.
    pub(crate) fn record_start(&self, vm: Vm, process_id: u32) {
        let process_ids = self.process_ids.lock();
        let mut process_ids = process_ids.unwrap_or_else(PoisonError::into_inner);
        process_ids.insert(vm, process_id);
    }

    /// Returns whether any opener was found. The kernel may not support it.
    pub(crate) fn has_found(&self) -> bool {
        self.has_found.load(Ordering::Relaxed)
    }

    /// Returns the VM whose process has opened a connection `from` its own address `to` another.
    /// `None` if that is another process, or if it has closed the connection already.
    pub(crate) fn opener(&self, from: SocketAddr, to: SocketAddr) -> Option<Vm> {
        let name = format!("socket:[{}]", inode(from, to)?);
        let process_ids = self.process_ids.lock();
        let process_ids = process_ids.unwrap_or_else(PoisonError::into_inner).clone();
        let mut process_ids = process_ids.into_iter();
        let opener =
            process_ids.find_map(|(vm, process_id)| has_open(process_id, &name).then_some(vm));
        self.has_found.fetch_or(opener.is_some(), Ordering::Relaxed);
        opener
    }
}

/// Asks the kernel for the inode of the socket that is bound to `from` and connected to `to`. The
/// table of all sockets in `/proc` would take too long to read for each connection.
fn inode(from: SocketAddr, to: SocketAddr) -> Option<u32> {
    let (IpAddr::V4(from_ip), IpAddr::V4(to_ip)) = (from.ip(), to.ip()) else {
        return None;
    };
    let domain = Domain::from(NETLINK);
    let mut socket = Socket::new(domain, Type::RAW, Some(Protocol::from(SOCK_DIAG))).ok()?;
    let request = [
        &REQUEST_BYTES.to_ne_bytes()[..],
        &SOCK_DIAG_BY_FAMILY.to_ne_bytes(),
        &REQUEST_FLAG.to_ne_bytes(),
        // The number of the message and the sender, which nobody reads.
        &[0; 8],
        &INET_TCP,
        // All states.
        &[0xff; 4],
        &from.port().to_be_bytes(),
        &to.port().to_be_bytes(),
        &from_ip.octets(),
        &[0; 12],
        &to_ip.octets(),
        &[0; 12],
        // Any interface and any cookie.
        &[0; 4],
        &[0xff; 8],
    ]
    .concat();
    socket.write_all(&request).ok()?;
    let mut answer = [0; 512];
    let length = socket.read(&mut answer).ok()?;
    let is_found = answer[4..6] == SOCK_DIAG_BY_FAMILY.to_ne_bytes();
    let inode = answer[..length].get(INODE_OFFSET..)?.first_chunk()?;
    is_found.then(|| u32::from_ne_bytes(*inode))
}

fn has_open(process_id: u32, name: &str) -> bool {
    let files = fs::read_dir(format!("/proc/{process_id}/fd"));
    let mut files = files.into_iter().flatten().flatten();
    files.any(|file| fs::read_link(file.path()).is_ok_and(|target| target == Path::new(name)))
}
