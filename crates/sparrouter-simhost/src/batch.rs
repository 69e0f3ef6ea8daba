//! Processes a batch of events for the instances that this process hosts.
use crate::error::HostError;
use crate::instance::Instance;
use crate::wire::{Batch, Incoming, Order};
use sparrouter_balancer::types::Nanos;
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Instances by the number that the simulator assigned to each.
pub type Instances = BTreeMap<i64, Instance>;

/// Processes a line of input and returns the resulting orders in the sequence in which they were made.
///
/// # Errors
///
/// A [`HostError`] that names the verb and field, if the batch is malformed or names an unknown instance, server,
/// operation, timer or value.
pub fn process(instances: &mut Instances, line: &str) -> Result<Vec<Order>, HostError> {
    let batch: Batch = serde_json::from_str(line).map_err(HostError::Batch)?;
    let now = sparrouter_settings::nanos("AtTimeUs", batch.time_us)?;
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
    let unknown_instance = HostError::UnknownInstance {
        verb: incoming.verb(),
        instance: number,
    };
    match incoming {
        Incoming::Enlist(enlist) => {
            instances.insert(number, Instance::new(enlist)?);
        }
        Incoming::Down { .. } => {
            instances.remove(&number).ok_or(unknown_instance)?;
        }
        event => {
            let instance = instances.get_mut(&number).ok_or(unknown_instance)?;
            let event = instance.translate(event)?;
            let mut instance_orders = Vec::new();
            let handle_event = || instance.handle(now, event, &mut instance_orders);
            let panic = catch_unwind(AssertUnwindSafe(handle_event)).err();
            orders.append(&mut instance_orders);
            orders.extend(panic.map(|panic| Order::Exception {
                i: number,
                text: panic_message(panic.as_ref()),
            }));
        }
    }
    Ok(())
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let message = panic.downcast_ref::<String>().cloned();
    message
        .or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()))
        .unwrap_or_else(|| "panic".to_owned())
}
