//! Faults of hosts, disks and links.

use chestnutdrift_core::HostId;
use chestnutdrift_core::gateway::Event;

use super::Deployment;

impl Deployment {
    /// Returns whether the next deadline of a host passed more than 5 ms ago.
    pub(crate) fn is_overdue(&self, id: HostId) -> bool {
        let deadline =
            self.gateway(id).next_deadline().0.saturating_add(self.nodes[&id].started_at);
        deadline + 5 < self.now
    }

    /// Kills a host; records that were persisted stay on its disk.
    pub(crate) fn kill(&mut self, id: HostId) {
        let node = self.nodes.get_mut(&id).expect("a known host");
        node.gateway = None;
    }

    /// Erases the disk of a stopped host.
    pub(crate) fn lose_disk(&mut self, id: HostId) {
        let node = self.nodes.get_mut(&id).expect("a known host");
        assert!(node.gateway.is_none(), "{id:?} is running");
        node.disk.clear();
        node.facts.clear();
        node.incarnation = 0;
    }

    /// Erases the facts on the disk of a stopped host, as if it had run an earlier version.
    pub(crate) fn lose_facts(&mut self, id: HostId) {
        let node = self.nodes.get_mut(&id).expect("a known host");
        assert!(node.gateway.is_none(), "{id:?} is running");
        node.facts.clear();
    }

    /// Returns the number of facts on the disk of a host.
    pub(crate) fn facts_on_disk(&self, id: HostId) -> usize {
        self.nodes[&id].facts.len()
    }

    /// Suspends a host until [`Deployment::thaw`]; its clocks continue.
    pub(crate) fn freeze(&mut self, id: HostId) {
        self.nodes.get_mut(&id).expect("a known host").is_frozen = true;
    }

    /// Resumes a frozen host, which then handles a tick and the events that arrived meanwhile.
    pub(crate) fn thaw(&mut self, id: HostId) {
        let node = self.nodes.get_mut(&id).expect("a known host");
        node.is_frozen = false;
        let queued = std::mem::take(&mut node.queued_events);
        self.release_calls(id);
        self.handle(id, &Event::Tick);
        for event in queued {
            self.handle(id, &event);
        }
    }

    /// Lets a disk sync nothing until [`Deployment::resume_disk`].
    pub(crate) fn stall_disk(&mut self, id: HostId) {
        self.stalled_disks.insert(id, None);
    }

    /// Lets a stalled disk sync what waits for it.
    pub(crate) fn resume_disk(&mut self, id: HostId) {
        if let Some(token) = self.stalled_disks.remove(&id).flatten() {
            self.deliver(id, Event::Synced(token));
        }
    }

    /// Cuts the links between two hosts, or restores them.
    pub(crate) fn cut(&mut self, a: HostId, b: HostId, cut: bool) {
        for pair in [(a, b), (b, a)] {
            if cut {
                self.cut_links.insert(pair);
            } else {
                self.cut_links.remove(&pair);
            }
        }
    }
}
