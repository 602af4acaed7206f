//! Control VMs in several availability zones that have acknowledged a route table.

use std::time::Duration;

use chicory_directory::{SiteAnswer, SiteCall};

use crate::support::{Simulation, table, vm_in_zone};

/// Time from the start of the VMs to the first requests.
const LEAD_TIME: Duration = Duration::from_secs(10);
/// Time within which a change has to be acknowledged while the group is stable.
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_secs(4);

pub struct Deployment {
    pub simulation: Simulation,
    /// Version of the newest table that was acknowledged.
    pub acknowledged_version: u64,
}

impl Deployment {
    /// Starts the VMs, and has a table acknowledged once they had time to form their group.
    pub fn new(vms_by_zone: &[usize], voter_count: usize, seeds: &[String]) -> Self {
        let mut simulation = Simulation::deployment(vms_by_zone, voter_count, seeds);
        simulation.run(LEAD_TIME);
        let mut deployment = Self {
            simulation,
            acknowledged_version: 0,
        };
        assert!(deployment.acknowledges_next_table(), "no first table");
        deployment
    }

    /// Ten VMs in five zones; the seeds are in the first three.
    pub fn of_ten() -> Self {
        Self::new(&[2; 5], 5, &[0, 1, 2].map(|zone| vm_in_zone(zone, 0)))
    }

    pub fn vm_names(&self) -> Vec<String> {
        self.simulation.vm_names()
    }

    pub fn kill(&mut self, vms: &[String]) {
        for vm in vms {
            self.simulation.kill(vm);
        }
    }

    /// Starts a VM that was not there before.
    pub fn add(&mut self, zone: usize, vm: &str) {
        self.simulation.add_in_zone(zone, vm, false);
    }

    /// Starts VMs again, with empty disks.
    pub fn start_empty(&mut self, vms: &[String]) {
        for vm in vms {
            self.simulation.add(vm, false);
        }
    }

    /// Sends a change as an operator does, to each VM in turn until one acknowledges it. Returns
    /// whether that happened in time.
    pub fn acknowledges_next_table(&mut self) -> bool {
        let version = self.acknowledged_version + 1;
        let put = SiteCall::PutRoutes(table(version));
        let is_acknowledged = self.ask_in_turn(&put) == Some(SiteAnswer::Done);
        if is_acknowledged {
            self.acknowledged_version = version;
        }
        is_acknowledged
    }

    /// Returns whether the newest acknowledged table is read back in time.
    pub fn reads_back(&mut self) -> bool {
        let expected = SiteAnswer::Routes(table(self.acknowledged_version));
        self.ask_in_turn(&SiteCall::ReadRoutes) == Some(expected)
    }

    /// Returns whether this VM answers with the newest acknowledged table.
    pub fn reads_back_at(&mut self, vm: &str) -> bool {
        let expected = SiteAnswer::Routes(table(self.acknowledged_version));
        self.simulation.call_and_wait(vm, SiteCall::ReadRoutes) == Some(expected)
    }

    /// Returns whether the newest acknowledged table is read back in time, or the one with
    /// `version`, which counts as acknowledged from then on.
    pub fn reads_back_or(&mut self, version: u64) -> bool {
        let Some(SiteAnswer::Routes(read)) = self.ask_in_turn(&SiteCall::ReadRoutes) else {
            return false;
        };
        if read == table(version) {
            self.acknowledged_version = version;
        }
        read == table(self.acknowledged_version)
    }

    pub fn running_vms(&self) -> Vec<String> {
        let mut vms = self.vm_names();
        vms.retain(|vm| self.simulation.is_running(vm));
        vms
    }

    /// Returns a running VM of an availability zone.
    pub fn running_vm_in_zone(&self, zone: usize) -> String {
        let prefix = format!("10.{zone}.");
        let mut vms = self.running_vms().into_iter();
        vms.find(|vm| vm.starts_with(&prefix))
            .expect("a running VM")
    }

    /// Returns the running VMs that have no vote in the control group.
    pub fn vms_without_vote(&self) -> Vec<String> {
        let leader = self.simulation.leader().expect("a leader");
        let voters = self.simulation.core(&leader).voters();
        let mut vms = self.running_vms();
        vms.retain(|vm| !voters.contains(vm));
        vms
    }

    fn ask_in_turn(&mut self, call: &SiteCall) -> Option<SiteAnswer> {
        let give_up_at = self.simulation.now + ACKNOWLEDGEMENT_TIME;
        let vms = self.vm_names();
        for vm in vms.iter().cycle() {
            if self.simulation.now >= give_up_at {
                break;
            }
            if !self.simulation.is_running(vm) {
                self.simulation.step();
                continue;
            }
            match self.simulation.call_and_wait(vm, call.clone()) {
                None | Some(SiteAnswer::Unavailable) => self.simulation.step(),
                answer => return answer,
            }
        }
        None
    }
}

/// Returns every pair of different VMs.
pub fn pairs(vms: &[String]) -> Vec<[String; 2]> {
    let pairs = vms.iter().enumerate().flat_map(|(index, first)| {
        let later = &vms[index + 1..];
        later
            .iter()
            .map(move |second| [first.clone(), second.clone()])
    });
    pairs.collect()
}
