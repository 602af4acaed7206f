//! Invalid frames on an open connection are typed errors, are counted and don't close it.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicory_net::NetMetric;
use chicory_net::peer::{
    Frame, FrameError, IncomingConnection, PeerConnection, PeerStream, StreamKind,
};
use chicory_net::tls::{CertificateAuthority, PeerRole, Subject};
use chicory_wire::proto::common::SlotRun;
use googletest::prelude::*;
use quinn::crypto::rustls::QuicClientConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use support::{CLUSTER, DAY, authority, peer};

const NAME: &str = "vm-1";

/// The hello message, as encoded on the wire.
#[derive(Clone, PartialEq, prost::Message)]
struct Hello {
    #[prost(string, tag = "1")]
    cluster: String,
    #[prost(string, tag = "2")]
    role: String,
    #[prost(string, tag = "3")]
    name: String,
}

/// Connects with a valid certificate, but leaves all data on the streams to the test.
async fn raw_client(authority: &CertificateAuthority, to: SocketAddr) -> quinn::Connection {
    let subject = Subject::new(PeerRole::Entry, NAME);
    let own = authority.issue(&subject, DAY).expect("a certificate");
    let root = CertificateDer::from_pem_slice(authority.certificate_pem().as_bytes());
    let chain = CertificateDer::from_pem_slice(own.certificate_pem.as_bytes());
    let key = PrivateKeyDer::from_pem_slice(own.key_pem.as_bytes()).expect("a key");
    let mut roots = rustls::RootCertStore::empty();
    roots.add(root.expect("a certificate")).expect("added");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("TLS 1.3")
        .with_root_certificates(roots)
        .with_client_auth_cert(vec![chain.expect("a certificate")], key)
        .expect("a client certificate");
    config.alpn_protocols = vec![b"chicory/1".to_vec()];
    let config = QuicClientConfig::try_from(config).expect("settings");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let endpoint = quinn::Endpoint::client(any_port).expect("a port");
    let config = quinn::ClientConfig::new(Arc::new(config));
    let connecting = endpoint.connect_with(config, to, "process.chicory");
    connecting.expect("started").await.expect("connected")
}

async fn send_hello(connection: &quinn::Connection) {
    let hello = Hello {
        cluster: CLUSTER.to_owned(),
        role: "entry".to_owned(),
        name: NAME.to_owned(),
    };
    let mut stream = connection.open_uni().await.expect("a stream");
    let frame = Frame::encode(&hello).expect("a frame");
    stream
        .write_all(&[StreamKind::Hello as u8])
        .await
        .expect("sent");
    stream.write_all(&frame).await.expect("sent");
}

async fn read_call(connection: &PeerConnection) -> std::result::Result<SlotRun, FrameError> {
    let Ok(PeerStream::Call(mut call)) = connection.accept().await else {
        panic!("not a call");
    };
    call.read().await
}

#[gtest]
#[tokio::test]
async fn wrong_frames_are_counted_and_the_connection_stays_open() {
    let authority = authority();
    let mut server = peer(&authority, "vm-2");
    let client = raw_client(&authority, server.address).await;
    send_hello(&client).await;
    let IncomingConnection { connection, .. } = server.incoming.recv().await.expect("incoming");
    let good = Frame::encode(&SlotRun { first: 1, last: 2 }).expect("a frame");
    let altered = |index: usize, byte: u8| {
        let mut frame = good.to_vec();
        frame[index] = byte;
        frame
    };
    for (frame, metric) in [
        (altered(0, b'X'), NetMetric::WrongMagicFrames),
        (altered(3, 2), NetMetric::WrongVersionFrames),
        (altered(4, 0xff), NetMetric::OversizedFrames),
        (altered(8, 0xff), NetMetric::MalformedFrames),
    ] {
        let (mut writer, _reader) = client.open_bi().await.expect("a stream");
        writer
            .write_all(&[StreamKind::Call as u8])
            .await
            .expect("sent");
        writer.write_all(&frame).await.expect("sent");
        expect_that!(read_call(&connection).await, err(anything()));
        expect_that!(server.metrics.total(metric), eq(1), "{metric:?}");
    }
    let (mut writer, _reader) = client.open_bi().await.expect("a stream");
    writer
        .write_all(&[StreamKind::Call as u8])
        .await
        .expect("sent");
    writer.write_all(&good).await.expect("sent");
    let call = read_call(&connection).await;
    expect_that!(call, ok(eq(&SlotRun { first: 1, last: 2 })));
    server.endpoint.close().await;
}

#[gtest]
#[tokio::test]
async fn a_connection_that_states_no_identity_is_not_accepted() {
    let authority = authority();
    let mut server = peer(&authority, "vm-2");
    let client = raw_client(&authority, server.address).await;
    let mut stream = client.open_uni().await.expect("a stream");
    stream
        .write_all(&[StreamKind::Messages as u8])
        .await
        .expect("sent");
    let wait_time = Duration::from_millis(200);
    let accepted = tokio::time::timeout(wait_time, server.incoming.recv()).await;
    expect_that!(accepted, err(anything()));
}
