//! Development stand-ins: a backend server, a caller that makes load, and a checker of their histories.
