//! The files of a rollout: the conductor's plan, its command's script and the folder of requests.
use super::nodes::NodeRollout;
use super::{NEW, OLD, RolloutError};
use crate::scenario::rollout::Rollout;
use std::path::{Path, PathBuf};

/// Arguments: the folder of requests, the node's name, the command's name. Exits with 0 once the lab has executed the
/// request, 1 where it could not, 2 where the folder is gone.
const COMMAND_SCRIPT: &str = r#"f="$1/$2.$$"; printf %s "$3" > "$f.tmp" && mv "$f.tmp" "$f.ask"
while :; do [ -f "$f.ok" ] && exit 0; [ -f "$f.no" ] && exit 1; [ -d "$1" ] || exit 2; sleep 0.05; done
"#;

/// Where the files of a rollout are.
pub(super) struct Files {
    pub(super) requests: PathBuf,
    pub(super) plan: PathBuf,
    script: PathBuf,
}

impl Files {
    pub(super) fn new(folder: &Path) -> Files {
        Files {
            requests: folder.join("asks"),
            plan: folder.join("plan.toml"),
            script: folder.join("ask.sh"),
        }
    }

    /// Removes what an earlier run left, which the conductor would resume, and writes the plan and the script.
    pub(super) fn prepare(
        &self,
        rollout: &NodeRollout,
        wanted: &Rollout,
    ) -> Result<(), RolloutError> {
        let _ = std::fs::remove_dir_all(&self.requests);
        for extension in ["log", "log.history", "how", "said", "err"] {
            let _ = std::fs::remove_file(self.plan.with_extension(extension));
        }
        std::fs::create_dir_all(&self.requests)?;
        std::fs::write(&self.script, COMMAND_SCRIPT)?;
        std::fs::write(&self.plan, self.plan_text(rollout, wanted))?;
        Ok(())
    }

    fn plan_text(&self, rollout: &NodeRollout, wanted: &Rollout) -> String {
        let s = &rollout.environment.lab.scenario;
        let mut text = format!(
            "name = {:?}\nseed = {}\n[change]\ngeneration = {NEW:?}\nfrom = {OLD:?}\nplacement = {}\n[stages]\n\
             parts = {:?}\nhold_s = {:?}\nlongest_s = {:?}\ncommand_s = {:?}\nspan_s = 0.5\ndown_at_once = {}\n\
             [bounds]\nleast_loss = {:?}\nfleet_loss = {:?}\nfetches_per_s = {:?}\n",
            s.name,
            s.seed,
            wanted.placement,
            wanted.parts,
            wanted.hold_s,
            wanted.longest_s,
            wanted.command_s,
            wanted.down_at_once,
            wanted.least_loss,
            wanted.fleet_loss,
            s.origin.per_s
        );
        for (n, node) in rollout.environment.nodes.iter().enumerate() {
            let report = node.lock().expect("not poisoned").report();
            let zone = n % s.caches.zones.max(1);
            text += &self.node_table(n, zone, &report);
        }
        text
    }

    fn node_table(&self, n: usize, zone: usize, report: &Path) -> String {
        let command = |name: &str| {
            let (script, requests) = (self.script.display(), self.requests.display());
            format!("[\"sh\", {script:?}, {requests:?}, \"n{n}\", {name:?}]")
        };
        format!(
            "[[node]]\nname = \"n{n}\"\nzone = \"z{zone}\"\nchange = {}\nback = {}\nrestart = {}\nreport = {report:?}\n",
            command("change"),
            command("back"),
            command("restart")
        )
    }
}
