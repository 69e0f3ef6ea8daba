//! Messages exchanged with the simulator. The simulator defines the names of verbs and fields; `serde` maps the fields'
//! case. Fields whose names end in `Us` are in microseconds.
use serde::{Deserialize, Serialize};
use sparrouter_settings::Settings;
use std::collections::BTreeMap;

/// A line of input: events that occur at the same time.
#[derive(Deserialize)]
pub struct Batch {
    #[serde(rename = "AtTimeUs")]
    pub time_us: i64,
    pub events: Vec<Incoming>,
}

/// A line of output: the orders that result from a batch.
#[derive(Serialize)]
pub struct Reply {
    pub orders: Vec<Order>,
}

/// An event for one instance.
#[derive(Deserialize)]
#[serde(tag = "verb")]
pub enum Incoming {
    Enlist(Enlist),
    Down {
        #[serde(rename = "I")]
        i: i64,
    },
    PeersKnown(PeersKnown),
    Ingress(Ingress),
    Begun(Begun),
    Done(Done),
    Vanished {
        #[serde(rename = "I")]
        i: i64,
        #[serde(rename = "Ticket")]
        ticket: String,
    },
    TimeoutFired {
        #[serde(rename = "I")]
        i: i64,
        #[serde(rename = "Handle")]
        handle: String,
    },
    Echo(Echo),
    Datagram {
        #[serde(rename = "I")]
        i: i64,
        #[serde(rename = "Neighbour")]
        neighbour: usize,
        #[serde(rename = "Payload")]
        payload: String,
    },
}

impl Incoming {
    /// Returns the number of the instance that the event concerns.
    pub fn instance(&self) -> i64 {
        match self {
            Incoming::Enlist(e) => e.i,
            Incoming::PeersKnown(e) => e.i,
            Incoming::Ingress(e) => e.i,
            Incoming::Begun(e) => e.i,
            Incoming::Done(e) => e.i,
            Incoming::Echo(e) => e.i,
            Incoming::Down { i }
            | Incoming::Vanished { i, .. }
            | Incoming::TimeoutFired { i, .. }
            | Incoming::Datagram { i, .. } => *i,
        }
    }
    /// Returns the event's verb.
    pub fn verb(&self) -> &'static str {
        match self {
            Incoming::Enlist(_) => "Enlist",
            Incoming::Down { .. } => "Down",
            Incoming::PeersKnown(_) => "PeersKnown",
            Incoming::Ingress(_) => "Ingress",
            Incoming::Begun(_) => "Begun",
            Incoming::Done(_) => "Done",
            Incoming::Vanished { .. } => "Vanished",
            Incoming::TimeoutFired { .. } => "TimeoutFired",
            Incoming::Echo(_) => "Echo",
            Incoming::Datagram { .. } => "Datagram",
        }
    }
}

/// Creates an instance.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Enlist {
    pub i: i64,
    #[serde(rename = "Nonce64")]
    pub nonce: serde_json::Number,
    pub info: Settings,
}

fn default_weight() -> f64 {
    1.0
}

/// The list of cache servers, or changes to it.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct PeersKnown {
    pub i: i64,
    pub form: String,
    #[serde(default)]
    pub rows: Vec<Row>,
}

/// A cache server in the list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Row {
    pub server: String,
    pub condition: String,
    #[serde(default)]
    pub campus: String,
    #[serde(default = "default_weight")]
    pub heft: f64,
    #[serde(default)]
    pub generation_hw: String,
    #[serde(default)]
    pub group: i64,
    #[serde(default)]
    pub ready_at_us: i64,
}

/// An invocation arrives.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Ingress {
    pub i: i64,
    pub ticket: String,
    #[serde(default)]
    pub write: bool,
    pub object: Option<String>,
    pub predicted_us: Option<i64>,
    pub billing: Option<serde_json::Value>,
    #[serde(default)]
    pub repeat: bool,
    pub due_us: i64,
    #[serde(rename = "Type")]
    pub kind: String,
}

/// The first bytes of a response arrived.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Begun {
    pub i: i64,
    pub ticket: String,
    pub copy: usize,
}

/// A forwarded request ended.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Done {
    pub i: i64,
    pub ticket: String,
    pub copy: usize,
    pub server: String,
    pub rc: String,
    pub lag_us: i64,
    #[serde(default)]
    pub last: bool,
    pub note: Option<i64>,
    pub health_info: Option<BTreeMap<String, f64>>,
}

/// A health check completed.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Echo {
    pub i: i64,
    pub rc: String,
    pub server: String,
    pub health_info: Option<BTreeMap<String, f64>>,
}

/// A request from an instance to the simulator.
#[derive(Serialize)]
#[serde(tag = "verb")]
pub enum Order {
    #[serde(rename_all = "PascalCase")]
    Route {
        i: i64,
        ticket: String,
        max_wait_us: u64,
        server: String,
    },
    #[serde(rename_all = "PascalCase")]
    Retract { i: i64, ticket: String, copy: usize },
    #[serde(rename_all = "PascalCase")]
    Busy {
        i: i64,
        ticket: String,
        retry_after_us: u64,
    },
    #[serde(rename_all = "PascalCase")]
    Abort { i: i64, ticket: String },
    #[serde(rename_all = "PascalCase")]
    NotifyMe {
        i: i64,
        wait_us: u64,
        handle: String,
    },
    #[serde(rename_all = "PascalCase")]
    Sample { i: i64, server: String },
    #[serde(rename_all = "PascalCase")]
    Signal { i: i64, peer: i64, payload: String },
    #[serde(rename_all = "PascalCase")]
    Tail { i: i64, on: bool },
    #[serde(rename_all = "PascalCase")]
    Pull { i: i64 },
    #[serde(rename_all = "PascalCase")]
    Exception { i: i64, text: String },
}
