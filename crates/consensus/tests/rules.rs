//! Safety rules of `Node` that depend on a specific order of messages.

use {
    fuchsiatack_consensus::{
        Body, Entry, Envelope, HardState, Member, MemberId, MemberRole, Node, NodeSettings, Payload,
        PersistMark, Ready, Role, Snapshot, StoredState, Term,
    },
    fuchsiatack_model::LogIndex,
    std::sync::Arc,
};

const OWN: MemberId = MemberId(1);
const OTHER: MemberId = MemberId(2);

fn entry(index: u64, term: Term) -> Arc<Entry> {
    Arc::new(Entry {
        index: LogIndex(index),
        payload: Payload::Command(vec![1]),
        term,
    })
}

/// Returns one of three voters, whose disk holds one entry of term 1.
fn follower() -> Node {
    let member = |id| Member {
        address: ([127, 0, 0, 1], id as u16).into(),
        id: MemberId(id),
        name: "member".into(),
        role: MemberRole::Voter,
    };
    let snapshot = Snapshot {
        data: Vec::new(),
        index: LogIndex(0),
        members: (1..=3).map(member).collect(),
        term: Term(0),
    };
    let stored = StoredState {
        entries: vec![entry(1, Term(1))],
        hard_state: HardState {
            term: Term(3),
            vote: None,
        },
        identity: OWN,
        snapshot: Some(Arc::new(snapshot)),
    };
    let settings = NodeSettings {
        id: OWN,
        ..NodeSettings::default()
    };
    Node::new(settings, stored)
}

/// Returns the same member after its election as leader of term 4.
fn leader() -> Node {
    let mut node = follower();
    node.tick(0);
    node.tick(1_000);
    let granted = true;
    receive(
        &mut node,
        Body::PreVoteReply {
            granted,
            term: Term(4),
        },
    );
    sync(&mut node);
    receive(
        &mut node,
        Body::VoteReply {
            granted,
            term: Term(4),
        },
    );
    assert_eq!(node.role(), Role::Leader);
    node
}

fn receive(node: &mut Node, body: Body) {
    let (from, to) = (OTHER, OWN);
    node.receive(1_000, Envelope { body, from, to });
}

fn sync(node: &mut Node) -> Ready {
    let ready = node.take_ready();
    node.persisted(ready.mark);
    ready
}

fn appended(index: u64) -> Body {
    Body::AppendAccepted {
        matching: LogIndex(index),
        term: Term(4),
    }
}

/// Guards against committing an entry of an earlier term by counting its copies. A leader of a term
/// in between could still replace it.
#[test]
fn entries_of_earlier_terms_wait_for_one_of_the_current_term() {
    let mut node = leader();
    sync(&mut node);

    receive(&mut node, appended(1));
    let early = node.commit();
    receive(&mut node, appended(2));

    assert_eq!(early, LogIndex(0));
    assert_eq!(node.commit(), LogIndex(2));
}

/// Guards against a leader that counts itself for entries that it has not synced.
#[test]
fn own_entries_count_once_they_are_synced() {
    let mut node = leader();
    let ready = node.take_ready();

    receive(&mut node, appended(2));
    let early = node.commit();
    node.persisted(PersistMark(ready.mark.0 - 1));
    let still_early = node.commit();
    node.persisted(ready.mark);

    assert_eq!((early, still_early), (LogIndex(0), LogIndex(0)));
    assert_eq!(node.commit(), LogIndex(2));
}

/// Guards against a confirmation by the reply to a heartbeat that was sent before the request.
/// Another leader could have been elected between the two.
#[test]
fn confirmation_needs_a_later_heartbeat() {
    let mut node = leader();
    sync(&mut node);
    receive(&mut node, appended(2));
    let reply = |round| Body::HeartbeatReply { round, term: Term(4) };

    node.confirm_leadership(7).unwrap();
    receive(&mut node, reply(1));
    let early = sync(&mut node).confirmed;
    receive(&mut node, reply(2));
    let confirmed = sync(&mut node).confirmed;

    assert!(early.is_empty());
    assert_eq!(confirmed, [7]);
}

/// Guards against the loss of acknowledged entries when a delayed snapshot of the log before them
/// is installed.
#[test]
fn delayed_snapshot_keeps_the_entries_after_it() {
    let mut node = follower();
    let append = Body::Append {
        commit: LogIndex(0),
        entries: vec![entry(2, Term(4))],
        previous: LogIndex(1),
        previous_term: Term(1),
        term: Term(4),
    };
    let part = Body::SnapshotPart {
        data: vec![1],
        index: LogIndex(1),
        members: node.members().to_vec(),
        offset: 0,
        snapshot_term: Term(1),
        term: Term(4),
        total_bytes: 1,
    };

    receive(&mut node, append);
    sync(&mut node);
    receive(&mut node, part);
    let ready = sync(&mut node);

    assert!(ready.install_snapshot && !ready.reset_log);
    assert_eq!((node.commit(), node.last()), (LogIndex(1), LogIndex(2)));
}
