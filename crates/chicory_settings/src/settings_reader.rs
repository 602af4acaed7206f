//! A reader of settings that collects every fault.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use chicory_types::VmId;
use clap::ArgMatches;

use crate::{SettingFault, SettingFaults};

/// Address returned in place of an invalid one until [`SettingsReader::finish`] reports the fault.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// Reads settings and collects every fault.
///
/// For an invalid setting a placeholder is returned, so that the remaining settings are read too;
/// [`finish`](Self::finish) returns the settings only if there was no fault.
///
/// # Examples
///
/// ```
/// use chicory_settings::{SettingsReader, setting};
/// use clap::Command;
///
/// let matches = Command::new("example")
///     .arg(setting("vm", "NAME", "Name of the VM"))
///     .arg(setting("limit", "COUNT", "Requests at a time"))
///     .get_matches_from(["example", "--limit", "0"]);
/// let mut reader = SettingsReader::new(&matches);
/// let vm = reader.name("vm");
/// let limit = reader.count("limit", 1..=100);
/// let faults = reader.finish((vm, limit)).unwrap_err();
/// assert_eq!(faults.faults.len(), 2);
/// ```
pub struct SettingsReader<'a> {
    matches: &'a ArgMatches,
    faults: Vec<SettingFault>,
}

impl<'a> SettingsReader<'a> {
    /// Creates a reader of the values from the command line and the environment.
    #[must_use]
    pub fn new(matches: &'a ArgMatches) -> Self {
        Self {
            matches,
            faults: Vec::new(),
        }
    }

    /// Returns `settings` if no fault was found.
    ///
    /// # Errors
    ///
    /// Returns [`SettingFaults`] with every fault that was found.
    pub fn finish<T>(self, settings: T) -> Result<T, SettingFaults> {
        if self.faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingFaults {
                faults: self.faults,
            })
        }
    }

    /// Records a fault that the code using this reader has found.
    pub fn fault(&mut self, flag: &str, value: Option<String>, allowed: impl Into<String>) {
        self.faults.push(SettingFault {
            flag: flag.to_owned(),
            value,
            allowed: allowed.into(),
        });
    }

    /// Returns whether a switch is set.
    #[must_use]
    pub fn is_set(&self, flag: &str) -> bool {
        self.matches.get_flag(flag)
    }

    /// Returns an optional text.
    #[must_use]
    pub fn optional_text(&self, flag: &str) -> Option<String> {
        self.matches.get_one::<String>(flag).cloned()
    }

    /// Reads a name: 1 to 64 letters, digits, dots, dashes or underscores.
    pub fn name(&mut self, flag: &str) -> String {
        let allowed = "1 to 64 letters, digits, '.', '-' or '_'";
        let text = self.required_text(flag, allowed);
        self.parse_or_record_fault(flag, text, allowed, |text| {
            is_name(text).then(|| text.to_owned())
        })
        .unwrap_or_default()
    }

    /// Reads a whole number within a range.
    pub fn count<N>(&mut self, flag: &str, range: RangeInclusive<N>) -> N
    where
        N: FromStr + PartialOrd + Copy + std::fmt::Display,
    {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let text = self.required_text(flag, &allowed);
        self.parse_or_record_fault(flag, text, &allowed, |text| {
            text.parse().ok().filter(|number| range.contains(number))
        })
        .unwrap_or(*range.start())
    }

    /// Reads a duration in milliseconds, within a range.
    pub fn millis(&mut self, flag: &str, range_ms: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.count(flag, range_ms))
    }

    /// Reads an IP address with a port.
    pub fn address(&mut self, flag: &str) -> SocketAddr {
        let allowed = "an IP address with a port, such as 10.0.0.7:7100";
        let text = self.required_text(flag, allowed);
        self.parse_or_record_fault(flag, text, allowed, |text| text.parse().ok())
            .unwrap_or(PLACEHOLDER_ADDRESS)
    }

    /// Reads a list `vm=address,...` with at least one element and without repeated VMs.
    pub fn addresses_by_vm(&mut self, flag: &str) -> BTreeMap<VmId, SocketAddr> {
        let allowed = "a list like vm-1=10.0.0.7:7100,vm-2=10.0.0.8:7100 without repeated names";
        let text = self.required_text(flag, allowed);
        self.parse_or_record_fault(flag, text, allowed, parse_addresses)
            .unwrap_or_default()
    }

    /// Reads one of the given words.
    pub fn choice<T: FromStr>(&mut self, flag: &str, words: &[&str]) -> Option<T> {
        let allowed = format!("one of {}", words.join(", "));
        let text = self.required_text(flag, &allowed);
        self.parse_or_record_fault(flag, text, &allowed, |text| text.parse().ok())
    }

    /// Reads the path of a file and checks that the file can be opened for reading.
    pub fn readable_file(&mut self, flag: &str) -> PathBuf {
        let allowed = "a file that can be read";
        let text = self.required_text(flag, allowed);
        self.parse_or_record_fault(flag, text, allowed, |text| {
            std::fs::File::open(text).ok().map(|_| PathBuf::from(text))
        })
        .unwrap_or_default()
    }

    /// Returns an optional path, which need not exist.
    #[must_use]
    pub fn optional_path(&self, flag: &str) -> Option<PathBuf> {
        self.optional_text(flag).map(PathBuf::from)
    }

    fn required_text(&mut self, flag: &str, allowed: &str) -> Option<String> {
        let text = self.optional_text(flag);
        if text.is_none() {
            self.fault(flag, None, allowed);
        }
        text
    }

    fn parse_or_record_fault<T>(
        &mut self,
        flag: &str,
        text: Option<String>,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let text = text?;
        let parsed = parse(&text);
        if parsed.is_none() {
            self.fault(flag, Some(text), allowed);
        }
        parsed
    }
}

fn is_name(text: &str) -> bool {
    (1..=64).contains(&text.len())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || ".-_".contains(c))
}

fn parse_addresses(text: &str) -> Option<BTreeMap<VmId, SocketAddr>> {
    let mut addresses = BTreeMap::new();
    for element in text.split(',') {
        let (vm, address) = element.split_once('=')?;
        let is_new = is_name(vm)
            && addresses
                .insert(vm.to_owned(), address.parse().ok()?)
                .is_none();
        if !is_new {
            return None;
        }
    }
    Some(addresses)
}
