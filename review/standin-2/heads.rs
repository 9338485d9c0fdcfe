//! Heads within the limits whose prompt has very many parts, and bodies that do not come.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::crowd::{self, Sends};
use crate::memory;
use crate::rig::{Clients, Record, Rig};

/// Connections of the crowd at each instance.
const CONNECTIONS: usize = 1500;
/// Time for which the crowd stays.
const STAY: Duration = Duration::from_secs(16);
/// Ends of a process, and machines with as many, that break the rule.
const ENDS: usize = 3;
const MACHINES: usize = 2;

/// Whether on two machines at least processes ended three times, memory over the limit included.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    let rig = Rig::start(2, 2, record);
    let clients = Clients::start(&rig, 4, Duration::from_millis(200));
    thread::sleep(Duration::from_secs(2));
    let mut crowds = Vec::new();
    if trouble {
        record.say(&format!(
            "a crowd of {CONNECTIONS} sends heads to each instance"
        ));
        for instance in &rig.instances {
            let to = instance.callers();
            crowds.extend(crowd::start(to, CONNECTIONS, Sends::Head, STAY.as_secs()));
        }
    }
    let ended = memory::watch(&rig, record, STAY + Duration::from_secs(1));
    crowd::stop(crowds);
    memory::count(clients, &rig, record);
    rig.stop();
    ended.iter().filter(|count| **count >= ENDS).count() >= MACHINES
}
