//! The decisions on the simulator's wire: batches on standard input, replies on standard output.

use starlinghill_simhost::Host;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(host.finish()?);
        }
        if let Some(reply) = host.line(line.trim_end_matches(['\n', '\r']))? {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("starlinghill-simhost: {e}");
            ExitCode::FAILURE
        }
    }
}
