//! The `core` commands: shows which stores are voting members, and changes them.

use crate::client::{ClientError, ConnectionLostSnafu, RegistryClient, REQUEST_TIMEOUT};
use starlinghill_config_store::wire::{
    MembershipDelay, MembershipOrder, MembershipOutcome, MembershipStatus, StoreRequest, StoreResponse,
};
use starlinghill_consensus::{Member, Members};
use starlinghill_runtime::net;
use starlinghill_runtime::rpc::{RpcClient, RpcError};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

/// Parses the arguments after `core` as a membership order.
pub fn parse_order(words: &[&str]) -> Option<MembershipOrder> {
    match words {
        ["add", ip] => Some(MembershipOrder::Add(ip.parse().ok()?)),
        ["remove", ip] => Some(MembershipOrder::Remove(ip.parse().ok()?)),
        ["replace", leaves, joins] => {
            Some(MembershipOrder::Replace(leaves.parse().ok()?, joins.parse().ok()?))
        }
        _ => None,
    }
}

impl RegistryClient {
    /// The membership as each store reports it, `None` for a store that does not answer. Starts with the seeds, and goes on
    /// to every member and candidate that a store names.
    pub async fn membership_statuses(&self) -> BTreeMap<IpAddr, Option<MembershipStatus>> {
        let mut all: BTreeMap<IpAddr, Option<MembershipStatus>> = BTreeMap::new();
        let mut open: BTreeSet<IpAddr> = self.stores.iter().map(|store| store.ip()).collect();
        while let Some(ip) = open.pop_first() {
            let client = RpcClient::new(&net::tcp(), self.store_at(ip));
            let status = match client.call(&StoreRequest::Status, REQUEST_TIMEOUT).await {
                Ok(StoreResponse::Status(status)) => Some(status),
                _ => None,
            };
            let named = status.iter().flat_map(|s| {
                s.members.voters.iter().map(|m| m.ip).chain(s.candidates.iter().map(|(member, _)| member.ip))
            });
            let new: Vec<IpAddr> = named.filter(|ip| !all.contains_key(ip)).collect();
            all.insert(ip, status);
            open.extend(new.into_iter().filter(|ip| !all.contains_key(ip)));
        }
        all
    }

    /// Sends a membership order to the voting stores in turn until one reports that it is done or was not needed. A store
    /// that received the order and gave no answer may still carry it out, whatever the others say. One that closes the
    /// connection instead of answering may have ended because of the order, which then goes to no other store.
    pub async fn change_members(&self, order: MembershipOrder) -> Result<String, ClientError> {
        let (mut last, mut silent) = (None, None);
        for (ip, status) in self.membership_statuses().await {
            if !status.is_some_and(|s| s.members.contains(s.me)) {
                continue;
            }
            let client = RpcClient::new(&net::tcp(), self.store_at(ip));
            match client.call(&StoreRequest::ChangeMembers(order), REQUEST_TIMEOUT).await {
                Ok(StoreResponse::Membership(MembershipOutcome::Done(change))) => {
                    return Ok(format!("agreed on: {change:?}"))
                }
                Ok(StoreResponse::Membership(MembershipOutcome::Stands)) => {
                    return Ok("nothing to change".into())
                }
                Ok(StoreResponse::Membership(MembershipOutcome::Waits(delay))) => last = Some(reason(delay)),
                Ok(_) => {}
                Err(RpcError::Timeout) => silent = Some(client.address()),
                Err(error) if error.is_not_sent() => {}
                Err(_) => return ConnectionLostSnafu { address: client.address() }.fail(),
            }
        }
        let problem = last.unwrap_or("no member answers").to_string();
        Err(match silent {
            Some(address) => ClientError::Unclear { problem, address },
            None => ClientError::Other { problem },
        })
    }

    /// The address of the store on a machine. All stores listen on the same port.
    fn store_at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.stores.first().map_or(0, |store| store.port()))
    }
}

/// The text for an operator on why the members are not changed.
fn reason(delay: MembershipDelay) -> &'static str {
    match delay {
        MembershipDelay::TooSoon => "the previous change is too recent, or another change came first",
        MembershipDelay::NobodyGone => "no member has been silent towards a majority for long enough",
        MembershipDelay::NoMajority => "no majority of the members answers",
        MembershipDelay::NotSynced => {
            "the joining store does not answer, or has not synced all that was agreed on"
        }
        MembershipDelay::Refused => {
            "invalid change: only a member can leave, only a store that is not a member can join, and one must remain"
        }
    }
}

/// The members of the highest epoch that any store reports.
fn newest_members(all: &BTreeMap<IpAddr, Option<MembershipStatus>>) -> Members {
    let reported = all.values().flatten().map(|status| &status.members);
    reported.max_by_key(|members| members.epoch).cloned().unwrap_or_default()
}

/// The output of `core list`: one line for each member.
pub fn member_lines(all: &BTreeMap<IpAddr, Option<MembershipStatus>>) -> Vec<String> {
    let members = newest_members(all);
    let line = |member: &Member| {
        let status = all.get(&member.ip).and_then(Option::as_ref);
        let state = match status {
            Some(status) if status.me != *member => "another_incarnation",
            Some(status) if status.fresh => "fresh",
            Some(_) => "stale",
            None => "silent",
        };
        format!(
            "member ip={} incarnation={:x} epoch={} state={state}",
            member.ip, member.incarnation, members.epoch
        )
    };
    members.voters.iter().map(line).collect()
}

/// The output of `core why`: what each store reports, and why it does not admit its candidates.
pub fn status_lines(all: &BTreeMap<IpAddr, Option<MembershipStatus>>) -> Vec<String> {
    let mut lines = Vec::new();
    for (ip, status) in all {
        let Some(s) = status else {
            lines.push(format!("store at={ip} silent"));
            continue;
        };
        lines.push(format!(
            "store at={ip} incarnation={:x} votes={} epoch={} stood_ms={} fresh={} ballot={}.{}",
            s.me.incarnation,
            s.members.contains(s.me),
            s.members.epoch,
            s.unchanged_for_ms,
            s.fresh,
            s.chosen.round,
            s.chosen.proposer
        ));
        lines.extend(
            s.last_heard_ms.iter().map(|(member, ms)| format!("  heard ip={} ago_ms={ms}", member.ip)),
        );
        let candidate = |(member, delay): &(Member, MembershipDelay)| {
            format!(
                "  candidate ip={} incarnation={:x} waits: {}",
                member.ip,
                member.incarnation,
                reason(*delay)
            )
        };
        lines.extend(s.candidates.iter().map(candidate));
    }
    lines
}
