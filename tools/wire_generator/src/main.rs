//! Generates the Rust code of `crates/chicory_wire/src/generated` from the `.proto` files of
//! `crates/chicory_wire/proto`.
//!
//! After a change of a `.proto` file, run `cargo run -p wire_generator` from the workspace root and
//! commit the result. The build itself uses the committed code and runs no generator.

use std::{error::Error, fs, path::Path};

const PROTO_DIR: &str = "crates/chicory_wire/proto";
const OUT_DIR: &str = "crates/chicory_wire/src/generated";

fn main() -> Result<(), Box<dyn Error>> {
    let mut files: Vec<_> = fs::read_dir(PROTO_DIR)?
        .map(|entry| entry.map(|found| found.path()))
        .collect::<Result<_, _>>()?;
    files.sort();
    let descriptors = protox::compile(&files, [PROTO_DIR])?;
    fs::create_dir_all(OUT_DIR)?;
    prost_build::Config::new()
        .btree_map(["."])
        .include_file("mod.rs")
        .out_dir(Path::new(OUT_DIR))
        .compile_fds(descriptors)?;
    Ok(())
}
