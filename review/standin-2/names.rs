//! Requests within the limits, each of which names another model that nobody has.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::crowd::{self, Sends};
use crate::memory;
use crate::rig::{Clients, Record, Rig};

/// Clients of the crowd at each instance; each sends one request after the other.
const CLIENTS: usize = 600;
/// Time for which the crowd stays.
const STAY: Duration = Duration::from_secs(25);

/// Whether a process took more memory than its machine has, or ended by itself.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    let rig = Rig::start_engines(2, 3, "", record);
    let clients = Clients::start(&rig, 4, Duration::from_millis(200));
    thread::sleep(Duration::from_secs(2));
    let mut crowds = Vec::new();
    if trouble {
        record.say(&format!(
            "a crowd of {CLIENTS} asks each instance for models that nobody has"
        ));
        for instance in &rig.instances {
            let to = instance.callers();
            crowds.extend(crowd::start(to, CLIENTS, Sends::Names, STAY.as_secs()));
        }
    }
    let ended = memory::watch(&rig, record, STAY + Duration::from_secs(1));
    crowd::stop(crowds);
    memory::count(clients, &rig, record);
    rig.stop();
    ended.iter().any(|count| *count > 0)
}
