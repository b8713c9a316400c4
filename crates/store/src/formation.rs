//! Formation of the cell.

use {
    crate::{InitialMember, StoreSettings, event::Event},
    fuchsiatack_consensus::{Member, MemberId, MemberRole},
    fuchsiatack_wire::{Formation, PeerClient, Request, Response},
    std::{net::SocketAddr, time::Duration},
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
    let others = settings
        .members
        .iter()
        .filter(|member| member.name != settings.name);
    let clients: Vec<_> = others
        .map(|member| {
            PeerClient::new(
                member.address,
                settings.secret.clone(),
                settings.peer.clone(),
                None,
            )
        })
        .collect();
    loop {
        let mut answers = Vec::new();
        for client in &clients {
            answers.push((client.address(), ask(client, own.clone()).await));
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

async fn ask(client: &PeerClient, own: Formation) -> Option<Formation> {
    match client.call(Request::Form(own), ASK_TIMEOUT).await {
        Ok(Response::Formation(formation)) => Some(formation),
        _ => None,
    }
}
