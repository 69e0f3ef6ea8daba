//! One batch of events, for all instances that this process hosts.
use crate::error::HostError;
use crate::instance::Instance;
use crate::wire::{Batch, Incoming, Order};
use sparrouter_balancer::types::Nanos;
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The instances, by the number that the simulator gave each.
pub type Instances = BTreeMap<i64, Instance>;

/// Processes a line of input; gives the orders in the order in which the decisions made them.
///
/// # Errors
///
/// A [`HostError`] that names the verb and field, if the batch is malformed or concerns something unknown.
pub fn process(instances: &mut Instances, line: &str) -> Result<Vec<Order>, HostError> {
    let batch: Batch = serde_json::from_str(line).map_err(HostError::Batch)?;
    let now = sparrouter_settings::nanos("AtTimeUs", batch.at)?;
    let mut orders = Vec::new();
    for incoming in batch.events {
        process_event(instances, incoming, now, &mut orders)?;
    }
    Ok(orders)
}

fn process_event(
    instances: &mut Instances,
    incoming: Incoming,
    now: Nanos,
    orders: &mut Vec<Order>,
) -> Result<(), HostError> {
    let number = incoming.instance();
    let unknown = HostError::UnknownInstance {
        verb: incoming.verb(),
        instance: number,
    };
    match incoming {
        Incoming::Enlist(enlist) => {
            instances.insert(number, Instance::new(enlist)?);
        }
        Incoming::Down { .. } => {
            instances.remove(&number).ok_or(unknown)?;
        }
        event => {
            let instance = instances.get_mut(&number).ok_or(unknown)?;
            let event = instance.translate(event)?;
            let mut own = Vec::new();
            let decide = || instance.handle(now, event, &mut own);
            let panic = catch_unwind(AssertUnwindSafe(decide)).err();
            orders.append(&mut own);
            orders.extend(panic.map(|panic| Order::Exception {
                i: number,
                text: panic_text(panic.as_ref()),
            }));
        }
    }
    Ok(())
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let owned = panic.downcast_ref::<String>().cloned();
    owned
        .or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()))
        .unwrap_or_else(|| "panic".to_owned())
}
