//! Makes the protocol's types. `protox` reads the file, so that no compiler of another project is needed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/group.proto");
    let files = protox::compile(["proto/group.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(files)?;
    Ok(())
}
