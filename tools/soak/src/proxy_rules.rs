//! What the proxies do to connections.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{broadcast, watch};

use crate::link_source::LinkSource;

/// Orders that a connection may fall behind.
const ORDERS: usize = 256;

/// Identifier of a rule.
pub(crate) type RuleId = u64;

/// Which connections a rule or an order is about.
#[derive(Clone, Debug)]
pub(crate) struct Selection {
    /// Where the connections lead, as it is told to the others.
    pub(crate) to: Option<SocketAddr>,
    /// Who opened them.
    pub(crate) from: Option<LinkSource>,
}

impl Selection {
    /// Everything that leads to an address.
    pub(crate) fn to(address: SocketAddr) -> Self {
        Self {
            to: Some(address),
            from: None,
        }
    }

    /// Everything that somebody opened.
    pub(crate) fn from(source: LinkSource) -> Self {
        Self {
            to: None,
            from: Some(source),
        }
    }

    /// Whether it is about a connection.
    pub(crate) fn fits(&self, to: SocketAddr, from: &LinkSource) -> bool {
        self.to.is_none_or(|wanted| wanted == to)
            && self.from.as_ref().is_none_or(|wanted| wanted == from)
    }
}

/// A direction of a connection, as seen from who opened it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// What the opener sends.
    Forth,
    /// What it is answered.
    Back,
}

/// What is done to bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Treatment {
    /// They wait until the rule ends; new connections hang.
    Block,
    /// They are passed on later.
    Delay(Duration),
}

#[derive(Clone, Debug)]
struct Rule {
    id: RuleId,
    selection: Selection,
    /// Both directions if `None`.
    direction: Option<Direction>,
    treatment: Treatment,
}

/// What happens once to open connections.
#[derive(Clone, Debug)]
pub(crate) enum Order {
    /// They are reset.
    Reset(Selection),
    /// They fall silent for good, without an end.
    Silence(Selection),
}

/// What the proxies of a run do to connections.
#[derive(Debug)]
pub(crate) struct ProxyRules {
    rules: Mutex<Vec<Rule>>,
    /// Counts changes of the rules.
    changes: watch::Sender<u64>,
    orders: broadcast::Sender<Order>,
}

impl Default for ProxyRules {
    fn default() -> Self {
        Self {
            rules: Mutex::default(),
            changes: watch::Sender::new(0),
            orders: broadcast::Sender::new(ORDERS),
        }
    }
}

impl ProxyRules {
    /// Adds a rule.
    pub(crate) fn add(
        &self,
        selection: Selection,
        direction: Option<Direction>,
        treatment: Treatment,
    ) -> RuleId {
        let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        let mut id = 0;
        self.changes.send_modify(|changes| {
            *changes += 1;
            id = *changes;
        });
        rules.push(Rule {
            id,
            selection,
            direction,
            treatment,
        });
        id
    }

    /// Ends a rule.
    pub(crate) fn remove(&self, id: RuleId) {
        let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        rules.retain(|rule| rule.id != id);
        drop(rules);
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Gives an order to all open connections.
    pub(crate) fn order(&self, order: Order) {
        // Without open connections nobody listens.
        drop(self.orders.send(order));
    }

    /// What is to be done to bytes of a connection; nothing if `None`.
    pub(crate) fn treatment(
        &self,
        to: SocketAddr,
        from: &LinkSource,
        direction: Direction,
    ) -> Option<Treatment> {
        let rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        let fitting = rules.iter().filter(|rule| {
            rule.selection.fits(to, from) && rule.direction.is_none_or(|d| d == direction)
        });
        let mut delay = None;
        for rule in fitting {
            match rule.treatment {
                Treatment::Block => return Some(Treatment::Block),
                Treatment::Delay(_) => delay = Some(rule.treatment),
            }
        }
        delay
    }

    /// Tells when the rules change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Orders from now on.
    pub(crate) fn orders(&self) -> broadcast::Receiver<Order> {
        self.orders.subscribe()
    }
}
