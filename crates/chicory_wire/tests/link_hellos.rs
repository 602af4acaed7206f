//! The first message on a link.

use chicory_directory::{DirectoryPosition, EntryReport, LinkHello};
use chicory_wire::ConvertError;
use chicory_wire::proto::site::{self, link_hello};
use googletest::prelude::*;
use prost::Message;

/// An entry VM's hello as earlier releases define it.
#[derive(Clone, PartialEq, Message)]
struct EarlierEntryHello {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(string, tag = "2")]
    zone: String,
    #[prost(uint64, tag = "3")]
    known_version: u64,
    #[prost(uint64, tag = "4")]
    known_last_fence: u64,
    #[prost(uint64, tag = "5")]
    known_routes_version: u64,
}

/// An entry VM's report as earlier releases define it, without the lists.
#[derive(Clone, PartialEq, Message)]
struct EarlierEntryReport {
    #[prost(bool, tag = "6")]
    accepts_server_limits: bool,
}

fn hello(relay_address: Option<&str>) -> LinkHello {
    LinkHello::Entry {
        vm: "entry-1".into(),
        zone: "north".into(),
        known: DirectoryPosition {
            version: 7,
            last_fence: 5,
            routes_version: 3,
        },
        relay_address: relay_address.map(|address| address.parse().expect("an address")),
        cpu_share: None,
    }
}

fn entry_hello(relay_address: Option<&str>) -> site::EntryHello {
    site::EntryHello {
        vm: "entry-1".into(),
        zone: "north".into(),
        known_version: 7,
        known_last_fence: 5,
        known_routes_version: 3,
        relay_address: relay_address.map(Into::into),
        cpu_share: None,
    }
}

fn received(hello: site::EntryHello) -> std::result::Result<LinkHello, ConvertError> {
    LinkHello::try_from(site::LinkHello {
        from: Some(link_hello::From::Entry(hello)),
    })
}

#[gtest]
fn hello_of_an_entry_vm_arrives_as_sent() {
    for relay_address in [None, Some("10.0.0.7:7560"), Some("[fd00::7]:7560")] {
        let message = site::LinkHello::from(hello(relay_address)).encode_to_vec();
        let message = site::LinkHello::decode(&message[..]).expect("a message");
        let received = LinkHello::try_from(message);
        expect_that!(received, ok(eq(&hello(relay_address))));
    }
}

#[gtest]
fn hello_with_a_malformed_relay_address_is_rejected() {
    for address in [
        "",
        "10.0.0.7",
        "entry-1:7560",
        "10.0.0.7:70000",
        "10.0.0.7:",
    ] {
        let received = received(entry_hello(Some(address)));
        let field = "entry_hello.relay_address";
        expect_that!(
            received,
            err(eq(&ConvertError::OutOfRange { field })),
            "{address:?}"
        );
    }
}

#[gtest]
fn hello_of_an_earlier_release_names_no_relay_address() {
    let earlier = EarlierEntryHello {
        vm: "entry-1".into(),
        zone: "north".into(),
        known_version: 7,
        known_last_fence: 5,
        known_routes_version: 3,
    };
    let message = site::EntryHello::decode(&earlier.encode_to_vec()[..]).expect("a message");
    expect_that!(received(message), ok(eq(&hello(None))));
}

#[gtest]
fn control_vm_of_an_earlier_release_reads_a_hello_with_a_relay_address() {
    let message = entry_hello(Some("10.0.0.7:7560")).encode_to_vec();
    let earlier = EarlierEntryHello::decode(&message[..]).expect("a message");
    expect_that!(earlier.vm, eq("entry-1"));
    expect_that!(earlier.known_routes_version, eq(3));
}

#[gtest]
fn report_of_an_earlier_release_says_that_the_entry_vm_cannot_relay() {
    let earlier = EarlierEntryReport {
        accepts_server_limits: true,
    };
    let message = site::EntryReport::decode(&earlier.encode_to_vec()[..]).expect("a message");
    let expected = EntryReport {
        accepts_server_limits: true,
        can_relay: false,
        ..EntryReport::default()
    };
    expect_that!(EntryReport::try_from(message), ok(eq(&expected)));
}

#[gtest]
fn report_states_whether_the_entry_vm_can_relay() {
    for can_relay in [false, true] {
        let report = EntryReport {
            can_relay,
            ..EntryReport::default()
        };
        let message = site::EntryReport::from(report.clone()).encode_to_vec();
        let message = site::EntryReport::decode(&message[..]).expect("a message");
        expect_that!(EntryReport::try_from(message), ok(eq(&report)));
    }
}

/// The hello of a control VM of an earlier release, which names no availability zone.
#[derive(Clone, PartialEq, Message)]
struct EarlierControlHello {
    #[prost(string, tag = "1")]
    vm: String,
}

#[gtest]
fn control_vms_of_earlier_releases_name_no_zone() {
    let earlier = EarlierControlHello { vm: "vm-a".into() };
    let message = site::ControlHello::decode(&earlier.encode_to_vec()[..]).expect("a message");
    let received = LinkHello::try_from(site::LinkHello {
        from: Some(link_hello::From::Control(message)),
    });
    let expected = LinkHello::Control {
        vm: "vm-a".into(),
        zone: None,
    };
    expect_that!(received, ok(eq(&expected)));
}

#[gtest]
fn control_vms_of_earlier_releases_read_the_hello_of_today() {
    let hello = LinkHello::Control {
        vm: "vm-a".into(),
        zone: Some("north".into()),
    };
    let Some(link_hello::From::Control(message)) = site::LinkHello::from(hello).from else {
        panic!("the hello of a control VM");
    };
    let earlier = EarlierControlHello::decode(&message.encode_to_vec()[..]).expect("a message");
    expect_that!(earlier.vm, eq("vm-a"));
}
