//! Carries out faults and planned work.

use std::time::{Duration, Instant};

use platform_stand_ins::ServerBehaviour;
use rustix::process::Signal;

use crate::cluster::{CONTROL_VMS, Cluster, Vm};
use crate::fault::Fault;
use crate::fleet::{Fleet, zone_name};
use crate::link_source::LinkSource;
use crate::proxy_rules::{Direction, ProxyAction, Selection, Treatment};
use crate::{Run, SoakError};

/// Time for which a server goes on serving after its leave was acknowledged. It is part of the
/// operators' requirements.
const DRAIN: Duration = Duration::from_millis(2300);
/// Least time between the end of a process and its restart.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// Longest duration of a planned stop. It is recorded as a disturbance of the stopped entry VM
/// only: other planned work at the same time must still keep all guarantees.
const STOP_LENGTH: Duration = Duration::from_secs(8);

impl Run {
    /// Carries out a fault or planned work and returns once it has ended.
    pub(crate) async fn inject(&self, fault: Fault) -> Result<(), SoakError> {
        if let Some(length) = fault.disturbance() {
            self.guarantees.disturbances.record(length + RESTART_PAUSE);
        }
        match fault {
            Fault::Kill { vm, down } => self.kill(&[vm], down).await?,
            Fault::KillAllControl { down } => {
                let all: Vec<Vm> = (0..CONTROL_VMS).map(Vm::Control).collect();
                self.kill(&all, down).await?;
            }
            Fault::KillEntries { down } => {
                let every_other = (0..self.entry_count).step_by(2);
                let vms: Vec<Vm> = every_other.map(Vm::Entry).collect();
                self.kill(&vms, down).await?;
            }
            Fault::Pause { vm, length } => self.pause(vm, length).await?,
            Fault::Wipe { control, down } => {
                let vm = Vm::Control(control);
                self.restart_with_damage(vm, down, |cluster| cluster.wipe(vm))
                    .await?;
            }
            Fault::Tear { control, down } => {
                let vm = Vm::Control(control);
                self.restart_with_damage(vm, down, |cluster| cluster.append_torn_record(vm))
                    .await?;
            }
            Fault::Cut {
                control,
                length,
                is_one_way,
            } => self.cut(control, length, is_one_way).await,
            Fault::SlowLinks {
                control,
                delay,
                length,
            } => {
                let selection = Selection::to(self.addresses.control_id(control));
                let rule = self.rules.add(selection, None, Treatment::Delay(delay));
                tokio::time::sleep(length).await;
                self.rules.remove(rule);
            }
            Fault::ResetLinks { control } => {
                let selection = Selection::to(self.addresses.control_id(control));
                self.rules.apply_once(ProxyAction::Reset(selection));
            }
            Fault::SilenceLinks { control } => {
                let selection = Selection::to(self.addresses.control_id(control));
                self.rules.apply_once(ProxyAction::Silence(selection));
            }
            Fault::Reload => self.reload().await?,
            Fault::HotKey { key, length } => {
                self.load.set_hot_key(Some(key));
                tokio::time::sleep(length).await;
                self.load.set_hot_key(None);
            }
            Fault::Stop { vm } => self.stop(vm).await?,
            Fault::CrashServer { server, down } => {
                self.fleet.lock().await.crash(server);
                tokio::time::sleep(down).await;
                self.fleet.lock().await.start_incarnation(server).await?;
            }
            Fault::RestartServer {
                server,
                successor,
                down,
            } => Fleet::restart(&self.fleet, server, successor, down).await?,
            Fault::Evacuate {
                zone,
                length,
                ends_cold,
            } => self.evacuate(&zone_name(zone), length, ends_cold).await,
            Fault::Replace { server } => self.replace(server).await?,
            Fault::Misbehave {
                server,
                conduct,
                length,
            } => self.misbehave(server, conduct, length).await,
            Fault::Notice {
                server,
                conduct,
                length,
            } => self.show_notice(server, conduct, length).await?,
            Fault::HinderServer {
                server,
                delay,
                length,
            } => self.hinder_server(server, delay, length).await,
            Fault::CutServerFromControl { server, length } => {
                self.cut_from_control(server, length).await;
            }
            Fault::CutFromServers {
                vms,
                manner,
                length,
            } => self.cut_from_servers(&vms, manner, length).await?,
            Fault::ResetServer { server } => self.act_on(server, ProxyAction::Reset).await,
            Fault::SilenceServer { server } => self.act_on(server, ProxyAction::Silence).await,
        }
        Ok(())
    }

    async fn kill(&self, vms: &[Vm], down: Duration) -> Result<(), SoakError> {
        for vm in vms {
            self.record_entry_fault(*vm, down);
        }
        {
            let mut cluster = self.cluster.lock().await;
            for vm in vms {
                cluster.kill(*vm).await?;
            }
        }
        tokio::time::sleep(down.max(RESTART_PAUSE)).await;
        for vm in vms {
            self.restart(*vm).await?;
        }
        Ok(())
    }

    /// Kills a process, damages its disk with `damage` and starts the process again.
    async fn restart_with_damage(
        &self,
        vm: Vm,
        down: Duration,
        damage: impl Fn(&Cluster) -> Result<(), SoakError>,
    ) -> Result<(), SoakError> {
        {
            let mut cluster = self.cluster.lock().await;
            // Another fault has stopped the process already, and will start it again.
            if !cluster.is_running(vm) {
                return Ok(());
            }
            cluster.kill(vm).await?;
            damage(&cluster)?;
        }
        tokio::time::sleep(down.max(RESTART_PAUSE)).await;
        self.restart(vm).await
    }

    async fn restart(&self, vm: Vm) -> Result<(), SoakError> {
        let mut cluster = self.cluster.lock().await;
        if cluster.is_running(vm) {
            return Ok(());
        }
        if let Vm::Entry(index) = vm {
            let entry = self.addresses.callers(index);
            self.guarantees.record_entry_start(entry);
            self.load.set_stopping(entry, false);
        }
        cluster.start(vm, false)
    }

    async fn pause(&self, vm: Vm, length: Duration) -> Result<(), SoakError> {
        self.record_entry_fault(vm, length);
        self.cluster.lock().await.signal(vm, Signal::STOP)?;
        tokio::time::sleep(length).await;
        self.guarantees.record_resume();
        self.cluster.lock().await.signal(vm, Signal::CONT)
    }

    async fn cut(&self, control: u8, length: Duration, is_one_way: bool) {
        let id = self.addresses.control_id(control);
        let vm = LinkSource::Link(id.to_string());
        // With a one-way cut the VM receives nothing, but what it sends still arrives.
        let (to_vm, from_vm) = if is_one_way {
            (Some(Direction::ToServer), Some(Direction::ToOpener))
        } else {
            (None, None)
        };
        let rules = [
            self.rules.add(Selection::to(id), to_vm, Treatment::Block),
            self.rules
                .add(Selection::from(vm), from_vm, Treatment::Block),
        ];
        tokio::time::sleep(length).await;
        self.guarantees.record_resume();
        for rule in rules {
            self.rules.remove(rule);
        }
    }

    async fn reload(&self) -> Result<(), SoakError> {
        let cluster = self.cluster.lock().await;
        let controls = (0..CONTROL_VMS).map(Vm::Control);
        for vm in controls.chain((0..self.entry_count).map(Vm::Entry)) {
            cluster.reload(vm)?;
        }
        Ok(())
    }

    async fn stop(&self, vm: Vm) -> Result<(), SoakError> {
        let Some(mut process) = self.cluster.lock().await.take_process(vm) else {
            return Ok(());
        };
        if let Vm::Entry(index) = vm {
            let entry = self.addresses.callers(index);
            self.guarantees
                .disturbances
                .record_for_entry(entry, STOP_LENGTH);
            self.load.set_stopping(entry, true);
        }
        let requested_at = Instant::now();
        process.signal(Signal::TERM)?;
        if !process.stopped().await {
            // A process that another fault has paused can't stop, so that is no violation.
            if self
                .guarantees
                .disturbances
                .none_between(requested_at, Instant::now())
            {
                self.guarantees
                    .record_violations([format!("{} does not stop in time", vm.name())]);
            }
            process.kill().await?;
        }
        tokio::time::sleep(RESTART_PAUSE).await;
        self.restart(vm).await
    }

    /// Drains a server, has it leave, and starts another one in its place.
    async fn replace(&self, server: usize) -> Result<(), SoakError> {
        let Some(leaving) = self.fleet.lock().await.server(server) else {
            return Ok(());
        };
        leaving.drain_and_leave(DRAIN).await;
        let mut fleet = self.fleet.lock().await;
        let is_same = fleet
            .server(server)
            .is_some_and(|present| present.name() == leaving.name());
        if is_same {
            fleet.crash(server);
            fleet.start_incarnation(server).await?;
        }
        Ok(())
    }

    async fn misbehave(&self, server: usize, conduct: ServerBehaviour, length: Duration) {
        let Some(server) = self.fleet.lock().await.server(server) else {
            return;
        };
        server.set_behaviour(conduct);
        tokio::time::sleep(length).await;
        server.set_behaviour(ServerBehaviour::Normal);
    }

    async fn show_notice(
        &self,
        member: usize,
        conduct: ServerBehaviour,
        length: Duration,
    ) -> Result<(), SoakError> {
        self.misbehave(member, conduct, length).await;
        if conduct != ServerBehaviour::Leaving {
            return Ok(());
        }
        let mut fleet = self.fleet.lock().await;
        fleet.crash(member);
        fleet.start_incarnation(member).await
    }

    /// Excuses an entry VM that a fault affects for `length`, and all servers' notices to it.
    fn record_entry_fault(&self, vm: Vm, length: Duration) {
        if let Vm::Entry(index) = vm {
            let entry = self.addresses.callers(index);
            let disturbances = &self.guarantees.disturbances;
            disturbances.record_for_entry(entry, length + RESTART_PAUSE);
        }
    }

    async fn hinder_server(&self, server: usize, delay: Option<Duration>, length: Duration) {
        let Some(server) = self.fleet.lock().await.server(server) else {
            return;
        };
        self.guarantees.record_hindrance(server.name(), length);
        let selection = Selection::to(server.config().announced_address);
        let rule = match delay {
            Some(delay) => self.rules.add(selection, None, Treatment::Delay(delay)),
            None => self
                .rules
                .add(selection, Some(Direction::ToOpener), Treatment::Block),
        };
        tokio::time::sleep(length).await;
        self.guarantees.record_resume();
        self.rules.remove(rule);
    }

    async fn act_on(&self, server: usize, action: impl Fn(Selection) -> ProxyAction) {
        if let Some(server) = self.fleet.lock().await.server(server) {
            self.guarantees
                .record_hindrance(server.name(), Duration::ZERO);
            let selection = Selection::to(server.config().announced_address);
            self.rules.apply_once(action(selection));
        }
    }
}
