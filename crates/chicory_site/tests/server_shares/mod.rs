//! Parts of servers' slots that the leader names to entry VMs.

use std::time::Duration;

use chicory_directory::{
    ControlMessage, DirectoryPosition, EntryMessage, EntryReport, ServerLoad, ServerState,
    ServiceShares, SiteCall, StatedLoad,
};
use chicory_ranges::ServerIncarnation;
use chicory_site::SiteEvent;
use googletest::prelude::*;

use crate::support::{Simulation, server, table};

const REPORT_INTERVAL: Duration = Duration::from_millis(350);
const SERVERS: u16 = 4;

/// Starts a site with a service without keys, and entry VMs with these processor shares.
fn site(cpu_shares: &[Option<f64>]) -> (Simulation, String) {
    let mut simulation = Simulation::with_leader(3);
    let leader = simulation.await_leader();
    simulation.call_and_wait(&leader, SiteCall::PutRoutes(table(1)));
    announce_servers(&mut simulation, &leader);
    for (link, cpu_share) in (1..).zip(cpu_shares) {
        let connected = SiteEvent::EntryConnected {
            link,
            vm: format!("entry-{link}"),
            zone: "north".into(),
            known: DirectoryPosition::default(),
            relay_address: None,
            cpu_share: *cpu_share,
        };
        simulation.handle_event(&leader, connected);
    }
    (simulation, leader)
}

fn announce_servers(simulation: &mut Simulation, leader: &str) {
    for index in 1..=SERVERS {
        let name = format!("orders-{index}");
        let mut record = server(&name, 1, 8000 + index, ServerState::Ready);
        record.service = "orders".into();
        simulation.call_and_wait(leader, SiteCall::Announce(record));
    }
}

fn report(answered: u32, stated: Option<StatedLoad>, accepts_server_shares: bool) -> EntryReport {
    let servers = (1..=SERVERS).map(|index| ServerLoad {
        incarnation: ServerIncarnation::new(format!("orders-{index}"), 1),
        in_flight: 0,
        answered,
        shed: 0,
        service_time: Duration::from_millis(50) * answered,
        stated,
    });
    EntryReport {
        servers: servers.collect(),
        accepts_server_shares,
        ..EntryReport::default()
    }
}

/// Has entry VMs report for a while. Returns the shares that each link received.
fn shares_after(
    simulation: &mut Simulation,
    leader: &str,
    reports: &[EntryReport],
    count: usize,
) -> Vec<(u64, Vec<ServiceShares>)> {
    simulation.entry_messages.clear();
    for _ in 0..count {
        announce_servers(simulation, leader);
        for (link, report) in (1..).zip(reports) {
            let message = EntryMessage::Report(report.clone());
            simulation.handle_event(leader, SiteEvent::EntrySent { link, message });
        }
        simulation.run(REPORT_INTERVAL);
    }
    let messages = simulation.entry_messages.iter();
    let shares = messages.filter_map(|(_, link, message)| match message {
        ControlMessage::ServerShares(services) => Some((*link, services.clone())),
        _ => None,
    });
    shares.collect()
}

fn slots_of(shares: &[(u64, Vec<ServiceShares>)], link: u64) -> f64 {
    let latest = shares.iter().rfind(|(to, _)| *to == link);
    let services = latest.iter().flat_map(|(_, services)| services);
    let servers = services.flat_map(|service| &service.shares);
    servers.map(|share| share.slots).sum()
}

/// Guards against a changed choice on deployments whose servers state no load and whose entry VMs
/// are alike.
#[gtest]
fn no_shares_are_sent_where_no_load_is_stated_and_entry_vms_are_alike() {
    let (mut simulation, leader) = site(&[Some(0.1), Some(0.12), None]);
    let reports = [(); 3].map(|()| report(5, None, true));
    let shares = shares_after(&mut simulation, &leader, &reports, 12);
    expect_that!(shares, is_empty());
}

/// Guards against parts that don't follow demand, and messages that are sent without a change.
#[gtest]
fn slots_are_divided_by_demand_where_load_is_stated_and_sent_on_change_only() {
    let (mut simulation, leader) = site(&[None, None, None]);
    let stated = Some(StatedLoad::default());
    let reports = [
        report(30, stated, true),
        report(10, None, true),
        report(9, None, false),
    ];
    let shares = shares_after(&mut simulation, &leader, &reports, 12);
    expect_that!(slots_of(&shares, 1), near(9.0, 0.5));
    expect_that!(slots_of(&shares, 2), near(3.0, 0.5));
    // An entry VM of an earlier release is sent none.
    expect_that!(slots_of(&shares, 3), eq(0.0));
    expect_that!(shares.len(), le(6));
    let later = shares_after(&mut simulation, &leader, &reports, 12);
    expect_that!(later, is_empty());
}

/// Guards against large and small entry VMs that do the same.
#[gtest]
fn slots_are_divided_where_processor_shares_differ() {
    let (mut simulation, leader) = site(&[Some(0.075), Some(0.25)]);
    let reports = [report(10, None, true), report(30, None, true)];
    let shares = shares_after(&mut simulation, &leader, &reports, 12);
    expect_that!(slots_of(&shares, 1), near(3.0, 0.5));
    expect_that!(slots_of(&shares, 2), near(9.0, 0.5));
}

/// Guards against slots that stay with an entry VM that has stopped.
#[gtest]
fn slots_of_an_entry_vm_that_stopped_go_to_the_others() {
    let (mut simulation, leader) = site(&[None, None]);
    let stated = Some(StatedLoad::default());
    let reports = [report(10, stated, true), report(10, stated, true)];
    let shares = shares_after(&mut simulation, &leader, &reports, 8);
    expect_that!(slots_of(&shares, 1), near(6.0, 0.5));
    simulation.handle_event(&leader, SiteEvent::EntryDisconnected { link: 2 });
    let shares = shares_after(&mut simulation, &leader, &reports[..1], 8);
    expect_that!(slots_of(&shares, 1), near(12.0, 0.01));
}
