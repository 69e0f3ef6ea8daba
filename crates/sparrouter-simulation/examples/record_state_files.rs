//! Writes the state files of one machine after a few changes, as this release keeps them: fixtures for
//! `tests/state_files.rs` under `tests/recorded_state`. Earlier fixtures stay; each format gets a folder of its own.
//!
//! `cargo run -p sparrouter-simulation --example record_state_files -- FOLDER`
use sparrouter_simulation::cluster::{ClusterSettings, SimulatedCluster, initial_configuration};
use sparrouter_simulation::runtime::play;
use sparrouter_storage::Files;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::sleep;

fn main() {
    let folder = std::env::args().nth(1).expect("a folder to write to");
    let folder = PathBuf::from(folder);
    std::fs::create_dir_all(&folder).expect("the folder can be made");
    play(async {
        let cluster = SimulatedCluster::serving(ClusterSettings::with_seed(49)).await;
        let mut before = initial_configuration();
        for _ in 0..2 {
            let next = before.next(2, |_| ());
            assert_eq!(cluster.operator.patch(&next, &before).await, 200);
            before = next;
        }
        assert!(cluster.operator.name_version(2).await);
        sleep(Duration::from_secs(30)).await;
        let files = cluster.disk("core-0").files;
        for name in files.list().expect("a disk that works") {
            let bytes = files.read(&name).expect("a disk that works");
            std::fs::write(folder.join(&name), bytes).expect("a file can be written");
        }
    });
}
