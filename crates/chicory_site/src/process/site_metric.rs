//! Metrics of a control process.

use chicory_telemetry::MetricName;

/// Metrics of a control process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteMetric {
    /// Calls of operators and backend servers.
    Calls,
    /// Calls that could not be answered with success.
    CallsUnavailable,
    /// Calls to backend servers about keys.
    GrantCalls,
    /// Calls to backend servers that did not succeed.
    GrantFailures,
    /// Moves of keys.
    RangeMoves,
    /// Writes to the data folder.
    Persists,
    /// Failures of the data folder.
    StorageFailures,
    /// Messages to other control VMs that were dropped.
    PeerMessagesDropped,
    /// Links to other control VMs that broke.
    PeerLinksLost,
    /// Frames that could not be decoded.
    UndecodableFrames,
    /// Duration of an iteration of the event loop.
    IterationTime,
    /// Entry VMs that follow this member.
    EntryVms,
    /// Entry VMs that have reported that they can't relay requests for others.
    EntryVmsUnableToRelay,
    /// Backend servers that are cold and have a cold limit.
    ColdServers,
    /// Servers whose keys are asked for more than the servers can answer, at the leader.
    OverloadedOwners,
    /// Lists of relay peers that were sent to entry VMs.
    RelayListsSent,
    /// Availability zones that are evacuated.
    EvacuatedZones,
    /// Lists of shares of slots that were sent to entry VMs.
    ShareListsSent,
    /// Bytes of these lists.
    ShareBytesSent,
    /// Version of the directory.
    DirectoryVersion,
    /// Whether this member acts as leader.
    IsLeading,
}

impl MetricName for SiteMetric {
    fn name(self) -> &'static str {
        match self {
            Self::Calls => "site_calls",
            Self::CallsUnavailable => "site_calls_unavailable",
            Self::GrantCalls => "site_grant_calls",
            Self::GrantFailures => "site_grant_failures",
            Self::RangeMoves => "site_range_moves",
            Self::Persists => "site_persists",
            Self::StorageFailures => "site_storage_failures",
            Self::PeerMessagesDropped => "site_peer_messages_dropped",
            Self::PeerLinksLost => "site_peer_links_lost",
            Self::UndecodableFrames => "site_undecodable_frames",
            Self::IterationTime => "site_turn_seconds",
            Self::EntryVms => "site_entry_vms",
            Self::EntryVmsUnableToRelay => "site_entry_vms_unable_to_relay",
            Self::ColdServers => "site_cold_servers",
            Self::OverloadedOwners => "site_overloaded_owners",
            Self::RelayListsSent => "site_relay_lists_sent",
            Self::EvacuatedZones => "site_evacuated_zones",
            Self::ShareListsSent => "site_share_lists_sent",
            Self::ShareBytesSent => "site_share_bytes_sent",
            Self::DirectoryVersion => "site_directory_version",
            Self::IsLeading => "site_is_leading",
        }
    }

    fn help(self) -> &'static str {
        match self {
            Self::Calls => "Calls of operators and backend servers.",
            Self::CallsUnavailable => "Calls that could not be answered with success.",
            Self::GrantCalls => "Calls to backend servers about keys.",
            Self::GrantFailures => "Calls to backend servers about keys that did not succeed.",
            Self::RangeMoves => "Moves of keys.",
            Self::Persists => "Writes to the data folder.",
            Self::StorageFailures => "Failures of the data folder.",
            Self::PeerMessagesDropped => "Messages to other control VMs that were dropped.",
            Self::PeerLinksLost => "Links to other control VMs that broke.",
            Self::UndecodableFrames => "Frames of links that could not be decoded.",
            Self::IterationTime => "Duration of an iteration of the event loop.",
            Self::EntryVms => "Entry VMs that follow this member.",
            Self::EntryVmsUnableToRelay => {
                "Entry VMs that have reported that they can't relay requests for others."
            }
            Self::ColdServers => "Backend servers that are cold and have a cold limit.",
            Self::OverloadedOwners => {
                "Servers whose keys are asked for more than the servers can answer, at the leader."
            }
            Self::RelayListsSent => "Lists of relay peers that were sent to entry VMs.",
            Self::EvacuatedZones => "Availability zones that are evacuated.",
            Self::ShareListsSent => "Lists of shares of slots that were sent to entry VMs.",
            Self::ShareBytesSent => "Bytes of the lists of shares that were sent to entry VMs.",
            Self::DirectoryVersion => "Version of the directory.",
            Self::IsLeading => "Whether this member acts as leader.",
        }
    }
}
