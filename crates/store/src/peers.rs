//! Outgoing connections to other members.

use {
    fuchsiatack_consensus::{Envelope, Member, MemberId},
    fuchsiatack_wire::{CellSecret, Frame, PeerClient, PeerClientSettings},
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Maximum number of messages queued for one member. Further ones are dropped; consensus tolerates
/// lost messages.
const QUEUE_MESSAGES: usize = 1_024;
/// Age at which a queued message is dropped. Each attempt to connect to an unreachable member
/// blocks its queue, and consensus has no use for messages that old.
const MESSAGE_LIFETIME: Duration = Duration::from_secs(1);

struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<(Instant, Envelope)>,
}

/// Sends messages to members without blocking the caller.
pub(crate) struct Peers {
    addresses: HashMap<MemberId, SocketAddr>,
    links: HashMap<MemberId, Link>,
    secret: CellSecret,
    settings: PeerClientSettings,
}

impl Peers {
    pub(crate) fn new(secret: CellSecret, settings: PeerClientSettings) -> Self {
        Self {
            addresses: HashMap::new(),
            links: HashMap::new(),
            secret,
            settings,
        }
    }

    pub(crate) fn address(&self, member: MemberId) -> Option<SocketAddr> {
        self.addresses.get(&member).copied()
    }

    /// Stores the address of one member, also of one that is in no member list yet.
    pub(crate) fn set_address(&mut self, member: MemberId, address: SocketAddr) {
        self.addresses.insert(member, address);
    }

    /// Stores the addresses of all members of a list.
    pub(crate) fn set_addresses(&mut self, members: &[Member]) {
        for member in members {
            self.set_address(member.id, member.address);
        }
    }

    /// Queues a message. Drops it if the receiver's address is unknown or its queue is full.
    pub(crate) fn send(&mut self, message: Envelope) {
        let Some(address) = self.address(message.to) else {
            return;
        };
        let known = self.links.get(&message.to).filter(|link| link.address == address);
        if known.is_none() {
            let link = self.connect(address);
            self.links.insert(message.to, link);
        }
        if let Some(link) = self.links.get(&message.to) {
            let _ = link.queue.try_send((Instant::now(), message));
        }
    }

    fn connect(&self, address: SocketAddr) -> Link {
        let client = PeerClient::new(address, self.secret.clone(), self.settings.clone(), None);
        let (queue, mut messages) = mpsc::channel::<(Instant, Envelope)>(QUEUE_MESSAGES);
        tokio::spawn(async move {
            while let Some((queued, message)) = messages.recv().await {
                if queued.elapsed() < MESSAGE_LIFETIME {
                    client.send(Frame::Consensus(Box::new(message))).await;
                }
            }
        });
        Link { address, queue }
    }
}
