//! Serves the simulator's text protocol: reads batches from standard input, and writes replies to standard output. Stops
//! with exit code 1 and one line on standard error at the first invalid line.

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
        if let Some(reply) = host.handle_line(line.trim_end_matches(['\n', '\r']))? {
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
