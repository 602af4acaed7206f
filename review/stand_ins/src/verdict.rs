//! Result of a case.

pub enum Verdict {
    Broken,
    Held,
    NotRun(String),
}

impl Verdict {
    pub fn of(is_broken: bool) -> Self {
        if is_broken { Self::Broken } else { Self::Held }
    }
}
