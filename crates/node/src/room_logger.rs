//! Logs and counts what was refused or closed because memory or connections were used up.

use std::fmt::Display;
use std::time::Duration;

use firweir::connection::open_connections::OpenConnections;
use firweir::connection::open_connections::RoomCause;
use firweir::process::log::Journal;

/// Shortest time between two lines, however many connections are closed.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs refusals and closings of a node.
#[derive(Debug, Clone)]
pub struct RoomLogger {
    /// Its connections.
    pub connections: OpenConnections,
    /// Log that the lines are written to.
    pub journal: Journal,
}

impl RoomLogger {
    /// Writes a line after refusals and closings, until the process ends.
    pub async fn run(self) {
        let mut logged = self.connections.counts();
        loop {
            self.connections.counts_changed().await;
            let counts = self.connections.counts();
            let new = RoomCause::ALL.map(|cause| counts[cause as usize] - logged[cause as usize]);
            self.write(&new);
            logged = counts;
            tokio::time::sleep(LOG_INTERVAL).await;
        }
    }

    fn write(&self, new: &[u64]) {
        let open = self.connections.len();
        let held_bytes = self.connections.held_bytes();
        let mut fields: Vec<(&str, &dyn Display)> =
            vec![("open", &open), ("held_bytes", &held_bytes)];
        for (cause, number) in RoomCause::ALL.into_iter().zip(new) {
            self.journal.count_many(metric_of(cause), *number);
            fields.push((name_of(cause), number));
        }
        self.journal.event("room_made", &fields);
    }
}

const fn name_of(cause: RoomCause) -> &'static str {
    match cause {
        RoomCause::IdleClosed => "idle_closed",
        RoomCause::NotAccepted => "not_accepted",
        RoomCause::StalledBody => "stalled_bodies",
        RoomCause::UnreadAnswer => "unread_answers",
        RoomCause::NoMemory => "no_memory",
    }
}

const fn metric_of(cause: RoomCause) -> &'static str {
    match cause {
        RoomCause::IdleClosed => "room.idle_closed",
        RoomCause::NotAccepted => "room.not_accepted",
        RoomCause::StalledBody => "room.stalled_bodies",
        RoomCause::UnreadAnswer => "room.unread_answers",
        RoomCause::NoMemory => "room.no_memory",
    }
}
