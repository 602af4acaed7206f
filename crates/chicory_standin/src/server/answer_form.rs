//! How a backend server sends its answers.

/// How a backend server sends its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerForm {
    /// Whole and to the right request.
    #[default]
    Proper,
    /// Broken off within the body.
    Cut,
    /// With the request id and the body of the request before.
    Crossed,
}
