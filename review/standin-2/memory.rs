//! Watches the memory of processes as the platform does: one that exceeds `ramMb` is killed.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::{Clients, Record, Rig, ends};

/// `limits.ramMb` of the settings.
const MEMORY_KB: u64 = 260 << 10;
/// Growth from which a line is recorded.
const STEP_KB: u64 = 16 << 10;

/// For each instance, how often its process took more memory than its machine has, or ended by
/// itself, within `time`.
pub fn watch(rig: &Rig, record: &Arc<Record>, time: Duration) -> Vec<usize> {
    let end = Instant::now() + time;
    let mut ended = vec![0; rig.instances.len()];
    let mut noted = vec![0; rig.instances.len()];
    let mut peak = vec![0; rig.instances.len()];
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(50));
        for (number, instance) in rig.instances.iter().enumerate() {
            let memory = instance.memory_kb();
            peak[number] = memory.max(peak[number]);
            if memory > noted[number] + STEP_KB {
                noted[number] = memory;
                record.line(&format!("{} takes {} MB", instance.name, memory >> 10));
            }
            if memory > MEMORY_KB {
                record.say(&format!(
                    "{} takes {} MB of 260: the platform kills it",
                    instance.name,
                    memory >> 10
                ));
                ended[number] += 1;
                instance.kill();
                thread::sleep(Duration::from_millis(500));
                instance.start();
                noted[number] = 0;
            }
            if let Some(status) = instance.ended() {
                record.say(&format!("{} ended by itself: {status}", instance.name));
                ended[number] += 1;
                instance.start();
            }
        }
    }
    for (number, instance) in rig.instances.iter().enumerate() {
        record.say(&format!(
            "{}: peak {} MB of 260; ended {} times",
            instance.name,
            peak[number] >> 10,
            ended[number]
        ));
    }
    ended
}

/// Ends the ordinary clients, and says for each instance what they got.
pub fn count(clients: Clients, rig: &Rig, record: &Arc<Record>) {
    let tries = clients.stop();
    for (number, instance) in rig.instances.iter().enumerate() {
        let own: Vec<_> = tries
            .iter()
            .filter(|t| t.instance == number)
            .cloned()
            .collect();
        record.say(&format!(
            "{}: ordinary clients: {:?}",
            instance.name,
            ends(&own)
        ));
    }
}
