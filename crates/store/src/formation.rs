//! Formation of a cell: agreement of the listed members on the initial member list.

use {
    crate::{InitialMember, Membership, StoreSettings, event::Event, membership},
    fuchsiatack_consensus::{Member, MemberId, MemberRole},
    fuchsiatack_wire::{Formation, PeerClient, Request, Response},
    futures_util::future::join_all,
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        time::Duration,
    },
    tokio::sync::mpsc::UnboundedSender,
};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between polls of a member that hears no leader. All members poll while there is none.
const REJOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Next step of a member without a member list.
#[derive(Debug)]
pub(crate) enum FormationDecision {
    /// Store this initial member list.
    Form(Vec<Member>),
    /// Poll the listed members again.
    Wait,
}

/// Polls the other listed members, and those of the own member list, for their identities until the
/// receiver of `events` is dropped. With `Membership::Joining`, also asks the members that they know to
/// add this one.
pub(crate) async fn poll_members(settings: StoreSettings, own: Formation, events: UnboundedSender<Event>) {
    let client = |address| PeerClient::new(address, settings.secret.clone(), settings.peer.clone(), None);
    let mut addresses: BTreeSet<_> = membership::other_addresses(&settings.members, &settings.name)
        .into_iter()
        .collect();
    let known = own.members.iter().filter(|member| member.id != own.identity);
    addresses.extend(known.map(|member| member.address));
    let clients: Vec<_> = addresses.into_iter().map(client).collect();
    let interval = match own.formed {
        true => REJOIN_INTERVAL,
        false => POLL_INTERVAL,
    };
    let mut joined = HashMap::new();
    loop {
        let polls = clients
            .iter()
            .map(|client| exchange_formation(client, own.clone()));
        let responses = join_all(polls).await;
        let responses: Vec<_> = clients.iter().map(PeerClient::address).zip(responses).collect();
        if let Membership::Joining { address, .. } = settings.membership {
            let members = formed_members(&responses);
            for member in members.iter().filter(|member| **member != address) {
                joined.entry(*member).or_insert_with(|| client(*member));
            }
            // A call to a member that is gone lasts until its timeout, so it must not delay the others.
            let joins = joined.iter().filter(|(member, _)| members.contains(*member));
            join_all(joins.map(|(_, client)| join(client, address, &own))).await;
        }
        if events.send(Event::Formation(responses)).is_err() {
            return;
        }
        tokio::time::sleep(interval).await;
    }
}

/// Decides from the responses of the other listed members whether to store an initial member list.
///
/// If the cell is already formed, a member with an empty disk adopts its list only if the list has
/// a voter of the member's identity. Such a member was reachable when the cell was formed and has
/// not voted yet. Otherwise the member's disk was lost, and it waits until an operator adds the new
/// identity and the leader sends a snapshot.
pub(crate) fn decide(
    settings: &StoreSettings,
    own: MemberId,
    responses: &[(SocketAddr, Option<Formation>)],
) -> FormationDecision {
    let formed = responses
        .iter()
        .filter_map(|(_, response)| response.as_ref())
        .find(|response| response.formed);
    if let Some(formed) = formed {
        let is_own = |member: &Member| member.id == own && member.role == MemberRole::Voter;
        return match formed.members.iter().any(is_own) {
            true => FormationDecision::Form(formed.members.clone()),
            false => FormationDecision::Wait,
        };
    }
    if matches!(settings.membership, Membership::Joining { may_form: false, .. }) {
        return FormationDecision::Wait;
    }
    if !settings.members.iter().any(|member| member.name == settings.name) {
        return FormationDecision::Wait;
    }
    let members = settings.members.iter().map(|member| {
        let id = match member.name == settings.name {
            true => own,
            false => identity(member, responses)?,
        };
        Some(Member {
            address: member.address,
            id,
            name: member.name.clone(),
            role: MemberRole::Voter,
        })
    });
    let Some(mut members) = members.collect::<Option<Vec<_>>>() else {
        return FormationDecision::Wait;
    };
    members.sort_unstable_by_key(|member| member.id);
    let is_distinct = members.windows(2).all(|pair| pair[0].id != pair[1].id);
    match is_distinct {
        true => FormationDecision::Form(members),
        false => FormationDecision::Wait,
    }
}

fn identity(member: &InitialMember, responses: &[(SocketAddr, Option<Formation>)]) -> Option<MemberId> {
    responses
        .iter()
        .filter(|(address, _)| *address == member.address)
        .filter_map(|(_, response)| response.as_ref())
        .find(|response| response.name == member.name)
        .map(|response| response.identity)
}

/// Returns the addresses of all members that the formed members list.
fn formed_members(responses: &[(SocketAddr, Option<Formation>)]) -> BTreeSet<SocketAddr> {
    let formed = responses.iter().filter_map(|(_, response)| response.as_ref());
    let formed = formed.filter(|response| response.formed);
    formed
        .flat_map(|response| response.members.iter().map(|member| member.address))
        .collect()
}

/// Asks a member to add this one to the cell. Only the leader accepts, and its messages show that it did.
async fn join(client: &PeerClient, address: SocketAddr, own: &Formation) {
    let request = Request::Join {
        address,
        identity: own.identity,
        name: own.name.clone(),
    };
    let _ = client.call(request, POLL_TIMEOUT).await;
}

async fn exchange_formation(client: &PeerClient, own: Formation) -> Option<Formation> {
    match client.call(Request::Formation(own), POLL_TIMEOUT).await {
        Ok(Response::Formation(formation)) => Some(formation),
        _ => None,
    }
}
