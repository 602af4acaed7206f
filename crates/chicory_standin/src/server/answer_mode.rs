//! How a backend server sends its answers.

/// How a backend server sends its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerMode {
    /// Answers are complete and belong to their request.
    #[default]
    Proper,
    /// Answers are cut short within the body.
    Cut,
    /// Answers carry the request id and the body of the previous answer.
    Crossed,
}
