//! Sends edits of the table. If the outcome stays unknown, the error says how to find it out.

use chicory_table::{EditOutcome, TableChange};
use chicory_types::{EditId, Revision};
use chicory_wire::proto::operator::TableEditRequest;
use chicory_wire::proto::operator::operator_answer::Answer;
use chicory_wire::proto::operator::operator_request::Request;
use snafu::ResultExt;
use uuid::Uuid;

use crate::client::{ClientError, ControlClient};
use crate::ctl_error::{
    ConflictSnafu, EditIdReusedSnafu, FileSnafu, InvalidSnafu, OutcomeUnknownSnafu,
};
use crate::{CtlError, EditHistory};

/// The options that an operator can give with every edit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EditOptions {
    /// The identifier of an earlier attempt to repeat; a new one is generated if it is `None`.
    pub edit_id: Option<EditId>,
    /// The revision that the edit is based on; the current one if it is `None`.
    pub base_revision: Option<Revision>,
}

/// Sends edits and records them in the history.
///
/// Requests don't contain the operator's name. The cluster takes it from the client's certificate.
pub struct Editor<'a> {
    client: &'a dyn ControlClient,
    history: &'a EditHistory,
}

impl<'a> Editor<'a> {
    /// Creates an editor that records its edits in `history`.
    #[must_use]
    pub fn new(client: &'a dyn ControlClient, history: &'a EditHistory) -> Self {
        Self { client, history }
    }

    /// Returns the client through which the edits are sent.
    #[must_use]
    pub fn client(&self) -> &'a dyn ControlClient {
        self.client
    }

    /// Returns the history of the edits.
    #[must_use]
    pub fn history(&self) -> &'a EditHistory {
        self.history
    }

    /// Sends an edit and returns the revision that it created.
    ///
    /// An unknown outcome is not recorded in the history as an answer.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::OutcomeUnknown`] if the edit may have been applied, and
    /// [`CtlError::File`] if the history can't be written. That can happen before the edit is sent
    /// or after it was answered, so the edit may have been applied then too. After any other error
    /// the edit was not applied.
    pub async fn submit(
        &self,
        edit_id: Option<EditId>,
        base_revision: Revision,
        changes: Vec<TableChange>,
    ) -> Result<Revision, CtlError> {
        let edit_id = edit_id.unwrap_or_else(|| Uuid::new_v4().to_string());
        let request = Request::TableEdit(TableEditRequest {
            edit_id: edit_id.clone(),
            base_revision,
            changes: changes.into_iter().map(Into::into).collect(),
        });
        let path = "--history";
        self.history
            .edit_sent(&edit_id)
            .context(FileSnafu { path })?;
        let answer = self.client.send(request).await;
        let result = edit_result(answer, &edit_id, base_revision);
        if !matches!(result, Err(CtlError::OutcomeUnknown { .. })) {
            let revision = result.as_ref().ok().copied();
            let written = self.history.edit_answered(&edit_id, revision);
            written.context(FileSnafu { path })?;
        }
        result
    }
}

fn edit_result(
    answer: Result<Answer, ClientError>,
    edit_id: &EditId,
    base_revision: Revision,
) -> Result<Revision, CtlError> {
    let outcome = match answer {
        Ok(Answer::TableEdit(outcome)) => EditOutcome::try_from(outcome),
        Ok(_) => return outcome_unknown(ClientError::UnexpectedAnswer, edit_id, base_revision),
        Err(source) if may_have_been_applied(&source) => {
            return outcome_unknown(source, edit_id, base_revision);
        }
        Err(source) => return Err(source.into()),
    };
    match outcome {
        Ok(EditOutcome::Accepted { revision }) => Ok(revision),
        Ok(EditOutcome::Conflict { current_revision }) => ConflictSnafu {
            base_revision,
            current_revision,
        }
        .fail(),
        Ok(EditOutcome::Invalid(faults)) => InvalidSnafu {
            faults: faults.iter().map(ToString::to_string).collect::<Vec<_>>(),
        }
        .fail(),
        Ok(EditOutcome::EditIdReused) => EditIdReusedSnafu { edit_id }.fail(),
        Err(_) => outcome_unknown(ClientError::UnexpectedAnswer, edit_id, base_revision),
    }
}

fn outcome_unknown(
    source: ClientError,
    edit_id: &EditId,
    base_revision: Revision,
) -> Result<Revision, CtlError> {
    Err(source).context(OutcomeUnknownSnafu {
        edit_id,
        base_revision,
    })
}

fn may_have_been_applied(error: &ClientError) -> bool {
    match error {
        ClientError::NoAnswer {
            may_have_arrived, ..
        } => *may_have_arrived,
        ClientError::UnexpectedAnswer => true,
        _ => false,
    }
}
