//! What a backend server states about itself in an answer.

use std::time::Duration;

use chicory_directory::StatedLoad;

/// What an answer says about the rate limit of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// The answer names no limit, so the server has none.
    #[default]
    Unlimited,
    /// Requests per second that the server takes from all entry VMs together. The value is positive
    /// and finite.
    PerSecond(f64),
    /// The answer names a limit that can't be read. It leaves the known state as it is.
    Unreadable,
}

/// Whether an answer asks for a pause in which nothing is sent to its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestNotice {
    /// The answer asks for no pause.
    #[default]
    None,
    /// The entry VM that gets the answer is to send nothing for this time.
    For(Duration),
    /// The answer asks for a pause that can't be read.
    Unreadable,
}

/// Whether an answer says that its server is about to end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeavingNotice {
    /// The answer does not say so.
    #[default]
    Staying,
    /// The server is about to end.
    Leaving,
    /// The answer has a value that can't be read. It says nothing.
    Unreadable,
}

/// Whether an answer states the load of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadNotice {
    /// The answer does not state it.
    #[default]
    None,
    /// The load of the server.
    Stated(StatedLoad),
    /// The answer states a load that can't be read. It says nothing.
    Unreadable,
}

/// What a backend server states about itself in an answer, besides what concerns the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerNotices {
    /// The rate limit of the server.
    pub limit: LimitNotice,
    /// The pause that the server asks for.
    pub rest: RestNotice,
    /// Whether the server is about to end.
    pub leaving: LeavingNotice,
    /// The load of the server.
    pub load: LoadNotice,
}

impl ServerNotices {
    /// Whether the server states something that can't be read.
    #[must_use]
    pub fn is_unreadable(&self) -> bool {
        self.limit == LimitNotice::Unreadable
            || self.rest == RestNotice::Unreadable
            || self.leaving == LeavingNotice::Unreadable
            || self.load == LoadNotice::Unreadable
    }
}
