//! Generates the protocol's types. `protox` parses the file, so that no `protoc` binary is needed for the build.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/group.proto");
    let files = protox::compile(["proto/group.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(files)?;
    Ok(())
}
