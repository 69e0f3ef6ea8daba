//! Hosts instances of the older proxy's balancing policy for the simulator. It reads one JSON batch per input line and
//! writes one reply per output line. It only translates between the simulator's messages and the policy's events and
//! actions.
//!
//! | module | purpose |
//! | --- | --- |
//! | `wire` | messages exchanged with the simulator |
//! | `batch` | processing of one input line for all instances |
//! | `instance` | one policy instance; maps the simulator's ids to the policy's indices |
//! | `error` | errors of processing a batch |
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
    let mut output = io::BufWriter::new(io::stdout().lock());
    for line in io::stdin().lock().lines() {
        let line = line.map_err(HostError::Input)?;
        let orders = batch::process(&mut instances, &line)?;
        serde_json::to_writer(&mut output, &Reply { orders }).map_err(HostError::Reply)?;
        output
            .write_all(b"\n")
            .and_then(|()| output.flush())
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
