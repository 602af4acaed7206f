//! Opens connections to backend servers only to see whether they can be reached.

use std::sync::Arc;
use std::time::Duration;

use chicory_directory::ServerRecord;
use tokio::net::TcpStream;

use super::GatewayMetric;
use super::shared_state::SharedState;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts the probes that are due. Each ends by itself.
pub(super) fn start_due_probes(shared: &Arc<SharedState>) {
    let now = shared.now();
    let servers = shared.gateway().take_probes(now);
    for server in servers {
        shared.metrics.increment(GatewayMetric::Probes);
        tokio::spawn(probe(shared.clone(), server));
    }
}

async fn probe(shared: Arc<SharedState>, server: ServerRecord) {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(server.address)).await;
    let is_open = connected.is_ok_and(|connected| connected.is_ok());
    let now = shared.now();
    let mut gateway = shared.gateway();
    gateway.record_probe(now, &server.incarnation, is_open);
}
