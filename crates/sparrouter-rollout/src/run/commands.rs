//! Runs the nodes' commands as child processes with a time limit.
use crate::controller::{CommandError, Event};
use crate::plan::{Command, Node};
use crate::record::CommandKind;
use std::collections::BTreeMap;
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

struct RunningCommand {
    child: Child,
    command: CommandKind,
    deadline: Instant,
}

/// The nodes' commands. At most one command runs per node.
pub(super) struct Commands {
    nodes: Vec<Node>,
    timeout: Duration,
    running: BTreeMap<usize, RunningCommand>,
}

fn spawn(command: &Command) -> std::io::Result<Child> {
    std::process::Command::new(&command[0])
        .args(&command[1..])
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::inherit())
        .spawn()
}

impl RunningCommand {
    /// Returns the result if the command has ended. Kills a command that is past its deadline.
    fn poll(&mut self, timeout: Duration) -> Option<Result<(), CommandError>> {
        match self.child.try_wait() {
            Ok(Some(status)) if status.success() => Some(Ok(())),
            Ok(Some(status)) => Some(Err(CommandError::Status(status))),
            Ok(None) if Instant::now() < self.deadline => None,
            Ok(None) => {
                let _ = self.child.kill();
                let _ = self.child.wait();
                Some(Err(CommandError::TimedOut(timeout)))
            }
            Err(error) => Some(Err(error.into())),
        }
    }
}

impl Commands {
    /// Creates the runner. `timeout` is the time limit of each command.
    pub fn new(nodes: Vec<Node>, timeout: Duration) -> Commands {
        Commands {
            nodes,
            timeout,
            running: BTreeMap::new(),
        }
    }

    /// Starts a node's command.
    pub fn start(&mut self, node: usize, command: CommandKind) -> Result<(), CommandError> {
        let settings = &self.nodes[node];
        let child = spawn(match command {
            CommandKind::Change => &settings.change,
            CommandKind::RollBack => &settings.roll_back,
            CommandKind::Restart => &settings.restart,
        })?;
        let deadline = Instant::now() + self.timeout;
        let running = RunningCommand {
            child,
            command,
            deadline,
        };
        self.running.insert(node, running);
        Ok(())
    }

    /// Returns the commands that have ended since the last call, ordered by node.
    pub fn take_ended(&mut self) -> Vec<Event> {
        let mut ended = Vec::new();
        self.running.retain(|&node, running| {
            let Some(result) = running.poll(self.timeout) else {
                return true;
            };
            let command = running.command;
            ended.push(Event::CommandEnded {
                node,
                command,
                result,
            });
            false
        });
        ended
    }
}
