//! Type aliases for identifiers.

/// Name of a cluster, one deployment of the system; processes of different clusters refuse to
/// communicate with each other.
pub type ClusterName = String;
/// Name of an availability zone.
pub type ZoneName = String;
/// Name of a region, which has one or more availability zones.
pub type RegionName = String;
/// Name of one entry VM or control VM, unique in the cluster.
pub type VmId = String;
/// Name of a service, the first segment of a request path.
pub type ServiceName = String;
/// Name under which a backend server announces itself, unique in the cluster.
pub type ServerId = String;
/// Name of an operator, taken from the common name of the operator's certificate.
pub type OperatorName = String;
/// Identifier of one edit of the table, chosen by the operator's tool.
pub type EditId = String;
/// Key of an order, which the caller sends in the `Idempotency-Key` header.
pub type OrderKey = String;
/// Identifier of a request within one process; a relayed request carries a new one.
pub type RequestId = u64;
/// Number of one start of a process or backend server; a later start has a greater number.
pub type Incarnation = u64;
/// Revision of the table; the empty table has revision 0.
pub type Revision = u64;
/// Version of a zone's view, which the entry processes follow.
pub type ViewVersion = u64;
/// Index of a slot of a keyed service, below [`SLOTS_PER_SERVICE`](crate::SLOTS_PER_SERVICE).
pub type Slot = u16;
/// Position in a replicated log; the first entry has index 1.
pub type LogIndex = u64;
/// Election term of a replicated log.
pub type Term = u64;
