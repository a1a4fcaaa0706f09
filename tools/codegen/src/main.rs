//! Regenerates `crates/comfreyhall-protocol/src/gen` from `proto/`.
//!
//! Run from the repository root with
//! `cargo run --manifest-path tools/codegen/Cargo.toml`. The output is
//! committed so that building comfreyhall needs neither protoc nor this tool.

fn main() {
    let fds = protox::compile(["proto/comfreyhall.proto"], ["proto"]).expect("proto compiles");
    tonic_prost_build::configure()
        .build_server(true)
        .build_client(true)
        .out_dir("crates/comfreyhall-protocol/src/gen")
        .compile_fds(fds)
        .expect("code generates");
}
