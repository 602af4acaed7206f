//! QUIC, TLS and HTTP plumbing that carries out the effects of the reducers.
