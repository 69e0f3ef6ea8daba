//! Hosts instances of the decision module on the simulator's wire: one JSON batch a line in, one
//! reply a line out. It translates and decides nothing.
mod node;
mod wire;

use node::Node;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use wire::{Batch, Incoming, Order, Reply};

fn play(nodes: &mut BTreeMap<i64, Node>, line: &str) -> Result<Vec<Order>, String> {
    let batch: Batch = serde_json::from_str(line).map_err(|e| format!("bad batch: {e}"))?;
    let now = sparrouter_settings::nanos("AtTimeUs", batch.at)?;
    let mut orders = Vec::new();
    for incoming in batch.events {
        let i = incoming.instance();
        match incoming {
            Incoming::Enlist(enlist) => {
                nodes.insert(i, Node::new(enlist)?);
            }
            Incoming::Down { .. } => {
                nodes
                    .remove(&i)
                    .ok_or_else(|| format!("Down: field I: instance {i} was not enlisted"))?;
            }
            event => {
                let name = event.name();
                let node = nodes
                    .get_mut(&i)
                    .ok_or_else(|| format!("{name}: field I: instance {i} was not enlisted"))?;
                let event = node.translate(event)?;
                let mut told = Vec::new();
                let outcome = catch_unwind(AssertUnwindSafe(|| node.handle(now, event, &mut told)));
                orders.append(&mut told);
                if let Err(panic) = outcome {
                    let text = panic
                        .downcast_ref::<String>()
                        .cloned()
                        .or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
                    orders.push(Order::Exception {
                        i,
                        text: text.unwrap_or_else(|| "panic".into()),
                    });
                }
            }
        }
    }
    Ok(orders)
}

fn run() -> Result<(), String> {
    let mut nodes = BTreeMap::new();
    let mut out = io::BufWriter::new(io::stdout().lock());
    for line in io::stdin().lock().lines() {
        let line = line.map_err(|e| format!("standard input: {e}"))?;
        let orders = play(&mut nodes, &line)?;
        serde_json::to_writer(&mut out, &Reply { orders }).map_err(|e| e.to_string())?;
        out.write_all(b"\n")
            .and_then(|()| out.flush())
            .map_err(|e| format!("standard output: {e}"))?;
    }
    Ok(())
}

fn main() {
    if let Err(text) = run() {
        eprintln!("sparrouter-simhost: {text}");
        std::process::exit(2);
    }
}

#[cfg(test)]
mod tests;
