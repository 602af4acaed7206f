//! A fake of the control processes.

use std::cell::RefCell;
use std::collections::VecDeque;

use chicory_ctl::client::{AnswerFuture, ClientError, ControlClient};
use chicory_wire::proto::operator::operator_answer::Answer;
use chicory_wire::proto::operator::operator_request::Request;

/// A client that returns prepared answers in order and records the requests.
#[derive(Default)]
pub struct FakeControl {
    answers: RefCell<VecDeque<Result<Answer, ClientError>>>,
    requests: RefCell<Vec<Request>>,
}

impl FakeControl {
    pub fn new(answers: impl IntoIterator<Item = Answer>) -> Self {
        Self {
            answers: RefCell::new(answers.into_iter().map(Ok).collect()),
            requests: RefCell::default(),
        }
    }

    /// Adds `error` as the result after the prepared answers.
    pub fn then_failing(self, error: ClientError) -> Self {
        self.answers.borrow_mut().push_back(Err(error));
        self
    }

    pub fn requests(&self) -> Vec<Request> {
        self.requests.borrow().clone()
    }
}

impl ControlClient for FakeControl {
    fn send(&self, request: Request) -> AnswerFuture<'_> {
        self.requests.borrow_mut().push(request);
        let answer = self.answers.borrow_mut().pop_front();
        Box::pin(async { answer.expect("an answer is prepared for every request") })
    }
}

pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(future)
}
