//! A fake of an entry process's announce listener.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use chicory_standin::server::{AnnounceAnswer, AnnounceRequest, GrantMessage};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Answers announcements with a preset answer and stores them.
pub struct FakeEntry {
    pub address: String,
    pub answer: RefCell<AnnounceAnswer>,
    pub is_unresponsive: Cell<bool>,
    pub received: RefCell<Vec<AnnounceRequest>>,
}

/// Creates an answer that grants every slot.
pub fn granting_all_slots(lease_ms: u64) -> AnnounceAnswer {
    AnnounceAnswer {
        renew_after_ms: 20,
        dispatcher: None,
        lease_ms,
        grants_version: 1,
        grants: Some(vec![GrantMessage {
            first: 0,
            last: 16_383,
            token: "3.41".to_owned(),
        }]),
    }
}

impl FakeEntry {
    pub async fn start(answer: AnnounceAnswer) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let entry = Rc::new(Self {
            address: address.to_string(),
            answer: RefCell::new(answer),
            is_unresponsive: Cell::new(false),
            received: RefCell::default(),
        });
        spawn_local(entry.clone().accept(listener));
        entry
    }

    pub fn last(&self) -> Option<AnnounceRequest> {
        self.received.borrow().last().cloned()
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let entry = self.clone();
            spawn_local(async move {
                let service = service_fn(|request| entry.clone().serve(request));
                let io = TokioIo::new(stream);
                let _ = http1::Builder::new().serve_connection(io, service).await;
            });
        }
    }

    async fn serve(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let body = request
            .into_body()
            .collect()
            .await
            .expect("the body can be read");
        let announcement =
            serde_json::from_slice(&body.to_bytes()).expect("the body is an announcement");
        self.received.borrow_mut().push(announcement);
        if self.is_unresponsive.get() {
            std::future::pending::<()>().await;
        }
        let answer = serde_json::to_vec(&*self.answer.borrow()).expect("the value is valid JSON");
        Ok(Response::new(Full::new(Bytes::from(answer))))
    }
}
