//! Formation of the cell.

use {
    crate::{InitialMember, Membership, StoreSettings, event::Event, membership},
    fuchsiatack_consensus::{Member, MemberId, MemberRole},
    fuchsiatack_wire::{Formation, PeerClient, Request, Response},
    futures_util::future::join_all,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
    tokio::sync::mpsc::UnboundedSender,
};

const ASK_INTERVAL: Duration = Duration::from_millis(200);
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// What the answers of the listed members mean.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// Store this member list.
    Form(Vec<Member>),
    /// Ask again.
    Wait,
}

/// Asks the other listed members for their identities until the receiver is gone.
pub(crate) async fn ask_members(settings: StoreSettings, own: Formation, events: UnboundedSender<Event>) {
    let client = |address| PeerClient::new(address, settings.secret.clone(), settings.peer.clone(), None);
    let clients: Vec<_> = membership::other_addresses(&settings.members, &settings.name)
        .into_iter()
        .map(client)
        .collect();
    let mut joined = HashMap::new();
    loop {
        let asked = clients.iter().map(|client| ask(client, own.clone()));
        let answers = join_all(asked).await;
        let answers: Vec<_> = clients.iter().map(PeerClient::address).zip(answers).collect();
        if let Membership::Joining { address, .. } = settings.membership {
            for member in formed_members(&answers) {
                let client = joined.entry(member).or_insert_with(|| client(member));
                if join(client, address, &own).await {
                    break;
                }
            }
        }
        if events.send(Event::Formation(answers)).is_err() {
            return;
        }
        tokio::time::sleep(ASK_INTERVAL).await;
    }
}

/// Decides whether the cell can be formed.
///
/// A member with an empty disk joins a formed cell only if it is a voter of the cell by its
/// identity: then it was reachable when the others formed the cell and has not voted yet. With
/// another identity its disk was lost, and it waits for an operator and the leader's snapshot.
pub(crate) fn decide(
    settings: &StoreSettings,
    own: MemberId,
    answers: &[(SocketAddr, Option<Formation>)],
) -> Verdict {
    let formed = answers
        .iter()
        .filter_map(|(_, answer)| answer.as_ref())
        .find(|answer| answer.formed);
    if let Some(formed) = formed {
        let is_own = |member: &Member| member.id == own && member.role == MemberRole::Voter;
        return match formed.members.iter().any(is_own) {
            true => Verdict::Form(formed.members.clone()),
            false => Verdict::Wait,
        };
    }
    if matches!(settings.membership, Membership::Joining { may_form: false, .. }) {
        return Verdict::Wait;
    }
    if !settings.members.iter().any(|member| member.name == settings.name) {
        return Verdict::Wait;
    }
    let members = settings.members.iter().map(|member| {
        let id = match member.name == settings.name {
            true => own,
            false => identity(member, answers)?,
        };
        Some(Member {
            address: member.address,
            id,
            name: member.name.clone(),
            role: MemberRole::Voter,
        })
    });
    let Some(mut members) = members.collect::<Option<Vec<_>>>() else {
        return Verdict::Wait;
    };
    members.sort_unstable_by_key(|member| member.id);
    let is_distinct = members.windows(2).all(|pair| pair[0].id != pair[1].id);
    match is_distinct {
        true => Verdict::Form(members),
        false => Verdict::Wait,
    }
}

fn identity(member: &InitialMember, answers: &[(SocketAddr, Option<Formation>)]) -> Option<MemberId> {
    answers
        .iter()
        .filter(|(address, _)| *address == member.address)
        .filter_map(|(_, answer)| answer.as_ref())
        .find(|answer| answer.name == member.name)
        .map(|answer| answer.identity)
}

/// Addresses of the members of a formed cell.
fn formed_members(answers: &[(SocketAddr, Option<Formation>)]) -> Vec<SocketAddr> {
    let formed = answers.iter().filter_map(|(_, answer)| answer.as_ref());
    let formed = formed.filter(|answer| answer.formed);
    formed
        .flat_map(|answer| answer.members.iter().map(|member| member.address))
        .collect()
}

/// Asks a member to take this one in. Returns whether it leads and will do so.
async fn join(client: &PeerClient, address: SocketAddr, own: &Formation) -> bool {
    let request = Request::Join {
        address,
        identity: own.identity,
        name: own.name.clone(),
    };
    matches!(client.call(request, ASK_TIMEOUT).await, Ok(Response::Joining))
}

async fn ask(client: &PeerClient, own: Formation) -> Option<Formation> {
    match client.call(Request::Formation(own), ASK_TIMEOUT).await {
        Ok(Response::Formation(formation)) => Some(formation),
        _ => None,
    }
}
