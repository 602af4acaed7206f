//! Metrics of a control process.

use chicory_telemetry::MetricName;

/// Metrics of a control process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlMetric {
    /// Messages sent to other members.
    MemberMessagesSent,
    /// Messages received from other members.
    MemberMessagesReceived,
    /// Messages to members that were too long, and messages of members that didn't match their
    /// certificate or could not be read.
    MemberMessagesRefused,
    /// Calls of other processes and operators.
    Calls,
    /// Calls that could not be read.
    MalformedCalls,
    /// Calls that the caller's certificate doesn't allow.
    RefusedCalls,
    /// Writes to the data folder, one fsync each.
    DurableWrites,
    /// Writes to the data folder that failed.
    FailedWrites,
    /// Syncs with the global group that got no answer.
    FailedSyncs,
    /// Number of times that this process became the leader of a group.
    Elections,
    /// Whether this process leads its zone's group, 0 or 1.
    LeadsZone,
    /// Whether this process leads the global group, 0 or 1.
    LeadsGlobal,
    /// Revision of the table in force.
    TableRevision,
}

impl MetricName for ControlMetric {
    fn name(self) -> &'static str {
        match self {
            Self::MemberMessagesSent => "member_messages_sent",
            Self::MemberMessagesReceived => "member_messages_received",
            Self::MemberMessagesRefused => "member_messages_refused",
            Self::Calls => "calls",
            Self::MalformedCalls => "malformed_calls",
            Self::RefusedCalls => "refused_calls",
            Self::DurableWrites => "durable_writes",
            Self::FailedWrites => "failed_writes",
            Self::FailedSyncs => "failed_syncs",
            Self::Elections => "elections",
            Self::LeadsZone => "leads_zone",
            Self::LeadsGlobal => "leads_global",
            Self::TableRevision => "table_revision",
        }
    }

    fn help(self) -> &'static str {
        match self {
            Self::MemberMessagesSent => "Messages sent to other members of the groups.",
            Self::MemberMessagesReceived => "Messages received from other members of the groups.",
            Self::MemberMessagesRefused => "Messages of members that were refused.",
            Self::Calls => "Calls of other processes and operators.",
            Self::MalformedCalls => "Calls that could not be read.",
            Self::RefusedCalls => "Calls that the caller's certificate doesn't allow.",
            Self::DurableWrites => "Writes to the data folder, one fsync each.",
            Self::FailedWrites => "Writes to the data folder that failed.",
            Self::FailedSyncs => "Syncs with the global group without an answer.",
            Self::Elections => "Times at which this process became leader of a group.",
            Self::LeadsZone => "Whether this process leads its zone's group.",
            Self::LeadsGlobal => "Whether this process leads the global group.",
            Self::TableRevision => "Revision of the table in force in this zone.",
        }
    }
}
