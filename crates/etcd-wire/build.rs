//! Generates the messages from `proto/etcd.proto`. The protobuf compiler is a library (protox), so
//! no `protoc` has to be installed.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=proto/etcd.proto");
    let files = protox::compile(["proto/etcd.proto"], ["proto"])?;
    let mut config = prost_build::Config::new();
    config.bytes(["."]);
    config.compile_fds(files)?;
    Ok(())
}
