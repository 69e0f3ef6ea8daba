//! Hosts instances of the older proxy's decisions for the simulator: one JSON batch a line in, one reply a line out. It
//! translates between the simulator's messages and the decisions' events and actions, and decides nothing itself.
//!
//! | module | its one job |
//! | --- | --- |
//! | `wire` | the simulator's messages, in its own words |
//! | `batch` | one line of input, for all instances |
//! | `instance` | one instance: ids of the simulator and indices of the decisions |
//! | `error` | why a batch cannot be processed |
mod batch;
mod error;
mod instance;
#[cfg(test)]
mod tests;
mod wire;

use batch::Instances;
use error::HostError;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::Reply;

fn run() -> Result<(), HostError> {
    let mut instances = Instances::new();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for line in io::stdin().lock().lines() {
        let line = line.map_err(HostError::Input)?;
        let orders = batch::process(&mut instances, &line)?;
        serde_json::to_writer(&mut out, &Reply { orders }).map_err(HostError::Reply)?;
        out.write_all(b"\n")
            .and_then(|()| out.flush())
            .map_err(HostError::Output)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sparrouter-simhost: {error}");
            ExitCode::from(2)
        }
    }
}
