//! The rules by which the proxies disturb connections.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{broadcast, watch};

use crate::link_source::LinkSource;
use crate::socket_owner::SocketOwners;

/// Capacity of the queue of actions for a connection; older ones are lost if it overflows.
const ACTION_QUEUE_LENGTH: usize = 256;

/// Identifier of a rule.
pub(crate) type RuleId = u64;

/// The connections that a rule or an action applies to.
#[derive(Clone, Debug)]
pub(crate) struct Selection {
    /// Advertised address that the connections lead to; any address if `None`.
    pub(crate) to: Option<SocketAddr>,
    /// Opener of the connections; any opener if `None`.
    pub(crate) from: Option<LinkSource>,
}

impl Selection {
    /// Selects the connections to an advertised address.
    pub(crate) fn to(address: SocketAddr) -> Self {
        Self {
            to: Some(address),
            from: None,
        }
    }

    /// Selects the connections that `source` opened.
    pub(crate) fn from(source: LinkSource) -> Self {
        Self {
            to: None,
            from: Some(source),
        }
    }

    /// Returns whether a connection is selected.
    pub(crate) fn includes(&self, to: SocketAddr, from: &LinkSource) -> bool {
        self.to.is_none_or(|wanted| wanted == to)
            && self.from.as_ref().is_none_or(|wanted| wanted == from)
    }
}

/// A direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// From the opener to the server.
    ToServer,
    /// From the server to the opener.
    ToOpener,
}

/// What a rule does to the bytes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Treatment {
    /// They are held back until the rule is removed; new connections hang.
    Block,
    /// They are forwarded, but new connections are refused.
    RefuseNew,
    /// They are forwarded after this delay.
    Delay(Duration),
}

#[derive(Clone, Debug)]
struct Rule {
    id: RuleId,
    selection: Selection,
    /// The direction it applies to; both if `None`.
    direction: Option<Direction>,
    treatment: Treatment,
}

/// An action that is applied once to open connections.
#[derive(Clone, Debug)]
pub(crate) enum ProxyAction {
    /// Resets them.
    Reset(Selection),
    /// Stops forwarding for good, but keeps them open.
    Silence(Selection),
}

/// The rules and actions of the proxies of one run.
#[derive(Debug)]
pub(crate) struct ProxyRules {
    /// The processes that open connections.
    pub(crate) owners: SocketOwners,
    rules: Mutex<Vec<Rule>>,
    /// Number of changes of the rules; notifies connections that wait for one.
    changes: watch::Sender<u64>,
    actions: broadcast::Sender<ProxyAction>,
}

impl Default for ProxyRules {
    fn default() -> Self {
        Self {
            owners: SocketOwners::default(),
            rules: Mutex::default(),
            changes: watch::Sender::new(0),
            actions: broadcast::Sender::new(ACTION_QUEUE_LENGTH),
        }
    }
}

impl ProxyRules {
    /// Adds a rule and returns its identifier.
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

    /// Removes a rule.
    pub(crate) fn remove(&self, id: RuleId) {
        let mut rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        rules.retain(|rule| rule.id != id);
        drop(rules);
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Applies an action once to the open connections that it selects.
    pub(crate) fn apply_once(&self, action: ProxyAction) {
        // Sending fails if no connection is open, and then there is nothing to do.
        drop(self.actions.send(action));
    }

    /// Returns the treatment of the bytes of a connection; `None` if they are forwarded at once.
    pub(crate) fn treatment(
        &self,
        to: SocketAddr,
        from: &LinkSource,
        direction: Direction,
    ) -> Option<Treatment> {
        let rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        let matching = rules.iter().filter(|rule| {
            rule.selection.includes(to, from)
                && rule
                    .direction
                    .is_none_or(|rule_direction| rule_direction == direction)
        });
        let mut delay = None;
        for rule in matching {
            match rule.treatment {
                Treatment::Block => return Some(Treatment::Block),
                Treatment::Delay(_) => delay = Some(rule.treatment),
                Treatment::RefuseNew => {}
            }
        }
        delay
    }

    /// Returns whether a new connection is refused.
    pub(crate) fn refuses(&self, to: SocketAddr, from: &LinkSource) -> bool {
        let rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        let mut rules = rules.iter();
        rules
            .any(|rule| rule.treatment == Treatment::RefuseNew && rule.selection.includes(to, from))
    }

    /// Returns a receiver that is notified when the rules change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns a receiver of the actions from now on.
    pub(crate) fn actions(&self) -> broadcast::Receiver<ProxyAction> {
        self.actions.subscribe()
    }
}
