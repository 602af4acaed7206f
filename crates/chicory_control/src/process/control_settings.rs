//! The checked settings of the control process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use chicory_net::tls::TlsFiles;
use chicory_settings::{SettingFaults, SettingsReader};
use chicory_telemetry::LogFormat;
use chicory_types::{ClusterName, VmId, ZoneName};
use clap::ArgMatches;

/// The checked settings of the control process.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of the deployment.
    pub cluster: ClusterName,
    /// Name of this VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address on which the other processes connect.
    pub peer_listen: SocketAddr,
    /// Address for health, readiness and metrics.
    pub admin_listen: SocketAddr,
    /// Control processes of the zone.
    pub zone_peers: BTreeMap<VmId, SocketAddr>,
    /// Members of the global group.
    pub global_peers: BTreeMap<VmId, SocketAddr>,
    /// Folder for the state of this VM's groups.
    pub data_dir: Option<PathBuf>,
    /// Certificates.
    pub tls: TlsFiles,
    /// Format of log records.
    pub log_format: LogFormat,
    /// File in which the events of the reducer are recorded.
    pub trace_file: Option<PathBuf>,
    /// File that lists peers to disconnect, for tests.
    pub fault_file: Option<PathBuf>,
}

impl ControlSettings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// Returns [`SettingFaults`] with all faults that were found.
    pub fn read(matches: &ArgMatches) -> Result<Self, SettingFaults> {
        let mut reader = SettingsReader::new(matches);
        let settings = Self {
            cluster: reader.name("cluster"),
            vm: reader.name("vm"),
            zone: reader.name("zone"),
            peer_listen: reader.address("peer-listen"),
            admin_listen: reader.address("admin-listen"),
            zone_peers: reader.addresses_by_vm("zone-peers"),
            global_peers: reader.addresses_by_vm("global-peers"),
            data_dir: reader.optional_path("data-dir"),
            tls: TlsFiles {
                ca: reader.readable_file("ca"),
                certificate: reader.readable_file("cert"),
                key: reader.readable_file("key"),
            },
            log_format: reader
                .choice("log-format", &["terminal", "json"])
                .unwrap_or_default(),
            trace_file: reader.optional_path("trace-file"),
            fault_file: reader.optional_path("fault-file"),
        };
        settings.check_membership(&mut reader);
        reader.finish(settings)
    }

    fn check_membership(&self, reader: &mut SettingsReader<'_>) {
        if !self.zone_peers.contains_key(&self.vm) {
            reader.fault(
                "zone-peers",
                reader.optional_text("zone-peers"),
                "a list that names this VM too",
            );
        }
        let is_global = self.global_peers.contains_key(&self.vm);
        if is_global && self.data_dir.is_none() {
            reader.fault(
                "data-dir",
                None,
                "a folder, since this VM is in --global-peers",
            );
        }
    }

    /// Returns the addresses of all control processes that this one communicates with.
    #[must_use]
    pub fn peers(&self) -> BTreeMap<VmId, SocketAddr> {
        let mut peers = self.global_peers.clone();
        peers.extend(self.zone_peers.clone());
        peers
    }
}
