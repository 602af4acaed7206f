//! The entry process: callers in, relays between VMs, dispatch to backend servers.
