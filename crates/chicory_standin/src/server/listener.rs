//! The listeners of the backend servers of one process.

use std::net::SocketAddr;
use std::rc::Rc;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::gated_io::GatedIo;
use super::{ServerConfig, ServerState, announcer, control, work};
use crate::history::{HistoryError, HistoryEvent, Recorder};

/// Why the backend servers of a process can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The history can't be opened.
    #[snafu(transparent)]
    History {
        /// The error of the history.
        source: HistoryError,
    },
}

/// The running backend servers of one process.
#[derive(Debug)]
pub struct StandinServer {
    /// The servers.
    pub servers: Vec<Rc<ServerState>>,
    /// Address for changes of behaviour.
    pub control_address: SocketAddr,
}

/// Starts the servers as tasks of the current `LocalSet`.
///
/// # Errors
///
/// [`StartError`] if an address or the history can't be opened.
pub async fn start_server(config: &ServerConfig) -> Result<StandinServer, StartError> {
    let recorder = Rc::new(Recorder::open(config.history.as_deref())?);
    let mut servers = Vec::new();
    for index in 0..config.count {
        let (listener, address) = listen(server_address(config, index)).await?;
        let server = Rc::new(ServerState::new(
            config.clone(),
            server_name(config, index),
            address.to_string(),
            recorder.clone(),
        ));
        recorder.write(&server.record(HistoryEvent::ServerStarted));
        spawn_local(accept(server.clone(), listener));
        spawn_local(announcer::announce(server.clone()));
        servers.push(server);
    }
    let (listener, control_address) = listen(config.control_listen).await?;
    spawn_local(control::serve(servers.clone(), listener));
    Ok(StandinServer {
        servers,
        control_address,
    })
}

fn server_name(config: &ServerConfig, index: u32) -> String {
    if config.count == 1 {
        config.name.clone()
    } else {
        format!("{}-{index:02}", config.name)
    }
}

fn server_address(config: &ServerConfig, index: u32) -> SocketAddr {
    let mut address = config.listen;
    if address.port() != 0 {
        let offset = u16::try_from(index).unwrap_or(u16::MAX);
        address.set_port(address.port().saturating_add(offset));
    }
    address
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    Ok((listener, address))
}

async fn accept(server: Rc<ServerState>, listener: TcpListener) {
    loop {
        let accepted = listener.accept().await;
        server.freeze.wait_until_open().await;
        if let Ok((stream, _)) = accepted {
            spawn_local(serve_connection(server.clone(), stream));
        }
    }
}

async fn serve_connection(server: Rc<ServerState>, stream: TcpStream) {
    let Some((id, connection_gate)) = server.open_connection() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let io = GatedIo::new(stream, [server.freeze.clone(), connection_gate]);
    let service = service_fn(|request| work::answer(server.clone(), request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(io), service);
    let _ = connection.await;
    server.close_connection(id);
}
