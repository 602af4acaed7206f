//! Groups that admit VMs at unknown addresses.

use std::time::Duration;

use chicory_consensus::{
    Formation, MemberId, Replica, ReplicaConfig, ReplicaEffect, ReplicaEvent, RestoredState, Role,
};
use googletest::prelude::*;

const CONTACT_TIMEOUT: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(10);

/// A group whose storage is durable at once and whose messages arrive in the next step.
struct Group {
    now: Duration,
    replicas: Vec<(String, Option<Replica>)>,
    messages: Vec<ReplicaEffect>,
}

impl Group {
    fn founded() -> Self {
        let mut group = Self {
            now: Duration::from_secs(1),
            replicas: Vec::new(),
            messages: Vec::new(),
        };
        for vm in ["vm-a", "vm-b", "vm-c"] {
            group.start(vm, Formation::Unanimous);
        }
        group.run(Duration::from_secs(2));
        group
    }

    fn start(&mut self, vm: &str, formation: Formation) {
        let bootstrap_vms = ["vm-a", "vm-b", "vm-c"].map(String::from).to_vec();
        let config = ReplicaConfig::builder(MemberId::new(vm, 1), bootstrap_vms)
            .formation(formation)
            .open_membership(3, CONTACT_TIMEOUT)
            .seed(self.replicas.len() as u64)
            .build()
            .expect("valid settings");
        let replica = Replica::new(config, RestoredState::fresh(), self.now);
        self.replicas.push((vm.into(), Some(replica)));
        self.feed(vm, ReplicaEvent::Tick);
    }

    fn stop(&mut self, vm: &str) {
        for (name, replica) in &mut self.replicas {
            if name == vm {
                *replica = None;
            }
        }
    }

    fn feed(&mut self, vm: &str, event: ReplicaEvent) {
        let now = self.now;
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let replica = self.replicas.iter_mut().find(|(name, _)| name == vm);
            let Some((_, Some(replica))) = replica else {
                return;
            };
            for effect in replica.reduce(now, event) {
                match effect {
                    ReplicaEffect::Persist { ticket, .. } => {
                        events.push(ReplicaEvent::Persisted { ticket });
                    }
                    send @ ReplicaEffect::Send { .. } => self.messages.push(send),
                    _ => {}
                }
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for effect in std::mem::take(&mut self.messages) {
                if let ReplicaEffect::Send { to, message } = effect {
                    let from = message.from.clone();
                    self.feed(&to.vm, ReplicaEvent::Received { from, message });
                }
            }
            let names: Vec<String> = self.replicas.iter().map(|(name, _)| name.clone()).collect();
            for vm in names {
                self.feed(&vm, ReplicaEvent::Tick);
            }
        }
    }

    fn leader(&self) -> &Replica {
        let running = self
            .replicas
            .iter()
            .filter_map(|(_, replica)| replica.as_ref());
        let mut leading = running.filter(|replica| replica.role() == Role::Leader);
        leading.next().expect("a leader")
    }

    fn voters(&self) -> Vec<String> {
        let voters = self.leader().membership().voters.iter();
        voters.map(|voter| voter.vm.clone()).collect()
    }

    fn follower(&self) -> String {
        let leader = self.leader().member().vm.clone();
        self.voters()
            .into_iter()
            .find(|vm| *vm != leader)
            .expect("a follower")
    }
}

#[gtest]
fn unknown_vm_becomes_a_learner_while_all_voters_respond() {
    let mut group = Group::founded();
    group.start("vm-x", Formation::Join);
    group.run(Duration::from_secs(8));
    expect_that!(
        group.voters(),
        elements_are![eq("vm-a"), eq("vm-b"), eq("vm-c")]
    );
    let learners = &group.leader().membership().learners;
    expect_that!(learners, contains(eq(&MemberId::new("vm-x", 1))));
}

#[gtest]
fn unknown_vm_replaces_an_unresponsive_voter() {
    let mut group = Group::founded();
    let lost = group.follower();
    group.stop(&lost);
    group.start("vm-x", Formation::Join);
    group.run(Duration::from_secs(4));
    expect_that!(group.voters(), contains(eq(&lost)));
    group.run(Duration::from_secs(4));
    expect_that!(group.voters(), contains(eq("vm-x")));
    expect_that!(group.voters(), not(contains(eq(&lost))));
}

#[gtest]
fn unresponsive_voter_stays_without_a_replacement() {
    let mut group = Group::founded();
    let lost = group.follower();
    group.stop(&lost);
    group.run(Duration::from_secs(20));
    expect_that!(group.voters(), contains(eq(&lost)));
}

#[gtest]
fn group_tolerates_a_crash_after_successive_replacements() {
    let mut group = Group::founded();
    for new_member in ["vm-x", "vm-y"] {
        let lost = group.follower();
        group.stop(&lost);
        group.start(new_member, Formation::Join);
        group.run(Duration::from_secs(9));
        expect_that!(group.voters().len(), eq(3));
    }
    let leader = group.leader().member().vm.clone();
    group.stop(&leader);
    group.run(Duration::from_secs(3));
    expect_that!(group.leader().member().vm, not(eq(&leader)));
}
