//! VMs that lose the path to backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::ensure;

use crate::cluster::{CONTROL_VMS, Vm};
use crate::cut_manner::CutManner;
use crate::link_source::LinkSource;
use crate::load::REQUEST_TIMEOUT;
use crate::proxy_rules::{Direction, ProxyAction, RuleId, Selection, Treatment};
use crate::soak_error::UnknownOpenersSnafu;
use crate::{Run, SoakError};

impl Run {
    /// Cuts VMs off from all backend servers for a while, and checks how callers were served
    /// meanwhile.
    pub(crate) async fn cut_from_servers(
        &self,
        vms: &[Vm],
        manner: CutManner,
        length: Duration,
    ) -> Result<(), SoakError> {
        ensure!(self.rules.owners.has_found(), UnknownOpenersSnafu);
        let entries = vms.iter().filter_map(|vm| match vm {
            Vm::Entry(index) => Some(self.addresses.callers(*index)),
            Vm::Control(_) => None,
        });
        let disturbances = &self.guarantees.disturbances;
        let cut = disturbances.record_cut(entries.collect(), length);
        self.hold_cut(vms, None, manner, length).await;
        // The last requests of the cut have ended then.
        tokio::time::sleep(REQUEST_TIMEOUT * 2).await;
        self.guarantees.check_cut(&cut);
        Ok(())
    }

    /// Cuts all control VMs off from a backend server for a while.
    pub(crate) async fn cut_from_control(&self, server: usize, length: Duration) {
        let Some(server) = self.fleet.lock().await.server(server) else {
            return;
        };
        let vms: Vec<Vm> = (0..CONTROL_VMS).map(Vm::Control).collect();
        let to = server.config().announced_address;
        self.hold_cut(&vms, Some(to), CutManner::Silent, length)
            .await;
    }

    /// Cuts VMs off from the backend server at `to`, or from all, and restores the path.
    async fn hold_cut(
        &self,
        vms: &[Vm],
        to: Option<SocketAddr>,
        manner: CutManner,
        length: Duration,
    ) {
        let selections = vms.iter().map(|vm| Selection {
            to,
            from: Some(LinkSource::Vm(*vm)),
        });
        let rules: Vec<RuleId> = selections
            .map(|selection| self.add_cut_rule(selection, manner))
            .collect();
        tokio::time::sleep(length).await;
        self.guarantees.record_resume();
        for rule in rules {
            self.rules.remove(rule);
        }
    }

    fn add_cut_rule(&self, selection: Selection, manner: CutManner) -> RuleId {
        let (direction, treatment) = match manner {
            CutManner::Silent => (None, Treatment::Block),
            CutManner::Reset | CutManner::RefuseNew => (None, Treatment::RefuseNew),
            CutManner::OneWay => (Some(Direction::ToOpener), Treatment::Block),
            CutManner::Late(delay) => (Some(Direction::ToServer), Treatment::Delay(delay)),
        };
        let rule = self.rules.add(selection.clone(), direction, treatment);
        if manner == CutManner::Reset {
            self.rules.apply_once(ProxyAction::Reset(selection));
        }
        rule
    }
}
