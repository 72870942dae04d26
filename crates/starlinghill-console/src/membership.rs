//! Who belongs to the core: what its stores say of each other, and orders to change it.

use crate::client::{AskError, Places, PATIENCE};
use starlinghill_config_store::wire::{
    MembershipDelay, MembershipOrder, MembershipOutcome, MembershipStatus, StoreRequest, StoreResponse,
};
use starlinghill_consensus::{Member, Members};
use starlinghill_runtime::net;
use starlinghill_runtime::rpc::RpcClient;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

/// An order, from the words behind `core`.
pub fn order(words: &[&str]) -> Option<MembershipOrder> {
    match words {
        ["add", ip] => Some(MembershipOrder::Add(ip.parse().ok()?)),
        ["remove", ip] => Some(MembershipOrder::Remove(ip.parse().ok()?)),
        ["replace", leaves, joins] => {
            Some(MembershipOrder::Replace(leaves.parse().ok()?, joins.parse().ok()?))
        }
        _ => None,
    }
}

impl Places {
    /// What each store says that is known of: those of the newest members that anybody tells of, and the seeds.
    pub async fn standings(&self) -> BTreeMap<IpAddr, Option<MembershipStatus>> {
        let mut all: BTreeMap<IpAddr, Option<MembershipStatus>> = BTreeMap::new();
        let mut open: BTreeSet<IpAddr> = self.stores.iter().map(|store| store.ip()).collect();
        while let Some(ip) = open.pop_first() {
            let at = SocketAddr::new(ip, self.stores.first().map_or(0, |store| store.port()));
            let standing = match RpcClient::new(&net::tcp(), at).call(&StoreRequest::Why, PATIENCE).await {
                Ok(StoreResponse::Why(standing)) => Some(standing),
                _ => None,
            };
            let told = standing.iter().flat_map(|s| {
                s.members.voters.iter().map(|m| m.ip).chain(s.candidates.iter().map(|(member, _)| member.ip))
            });
            let new: Vec<IpAddr> = told.filter(|ip| !all.contains_key(ip)).collect();
            all.insert(ip, standing);
            open.extend(new.into_iter().filter(|ip| !all.contains_key(ip)));
        }
        all
    }

    /// Gives an order to the stores in turn, until one tells clearly what came of it.
    pub async fn core(&self, order: MembershipOrder) -> Result<String, AskError> {
        let mut last = None;
        for (ip, standing) in self.standings().await {
            if !standing.is_some_and(|s| s.members.contains(s.me)) {
                continue;
            }
            let at = SocketAddr::new(ip, self.stores.first().map_or(0, |store| store.port()));
            match RpcClient::new(&net::tcp(), at).call(&StoreRequest::Order(order), PATIENCE).await {
                Ok(StoreResponse::Admission(MembershipOutcome::Done(change))) => {
                    return Ok(format!("agreed on: {change:?}"))
                }
                Ok(StoreResponse::Admission(MembershipOutcome::Stands)) => {
                    return Ok("it stands so already".into())
                }
                Ok(StoreResponse::Admission(MembershipOutcome::Waits(wait))) => last = Some(reason(wait)),
                _ => {}
            }
        }
        let what = last.unwrap_or("no member answers").to_string();
        Err(AskError::Nonsense { what })
    }
}

/// Why members are not changed.
fn reason(wait: MembershipDelay) -> &'static str {
    match wait {
        MembershipDelay::TooSoon => {
            "the change before has not stood for long enough, or another one came first"
        }
        MembershipDelay::NobodyGone => "no member has been silent for long enough to a majority",
        MembershipDelay::NoMajority => "no majority of the members answers",
        MembershipDelay::NotSynced => "the new one does not answer, or has not got all that was agreed on",
        MembershipDelay::Refused => {
            "it makes no sense: who goes must be a member, who comes must be none, one must be left"
        }
    }
}

fn newest(all: &BTreeMap<IpAddr, Option<MembershipStatus>>) -> Members {
    let told = all.values().flatten().map(|standing| &standing.members);
    told.max_by_key(|members| members.epoch).cloned().unwrap_or_default()
}

/// The members, a line each.
pub fn list(all: &BTreeMap<IpAddr, Option<MembershipStatus>>) -> Vec<String> {
    let members = newest(all);
    let line = |member: &Member| {
        let standing = all.get(&member.ip).and_then(Option::as_ref);
        let state = match standing {
            Some(standing) if standing.me != *member => "another_incarnation",
            Some(standing) if standing.fresh => "fresh",
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

/// What is known of each store, and why no change is made.
pub fn why(all: &BTreeMap<IpAddr, Option<MembershipStatus>>) -> Vec<String> {
    let mut lines = Vec::new();
    for (ip, standing) in all {
        let Some(s) = standing else {
            lines.push(format!("store at={ip} silent"));
            continue;
        };
        lines.push(format!(
            "store at={ip} incarnation={:x} votes={} epoch={} stood_ms={} fresh={} ballot={}.{}",
            s.me.incarnation,
            s.members.contains(s.me),
            s.members.epoch,
            s.stood_ms,
            s.fresh,
            s.chosen.round,
            s.chosen.proposer
        ));
        lines.extend(s.heard.iter().map(|(member, ms)| format!("  heard ip={} ago_ms={ms}", member.ip)));
        let waits = |(member, wait): &(Member, MembershipDelay)| {
            format!(
                "  candidate ip={} incarnation={:x} waits: {}",
                member.ip,
                member.incarnation,
                reason(*wait)
            )
        };
        lines.extend(s.candidates.iter().map(waits));
    }
    lines
}
