//! Tests changes of the core's members by operators, with real processes and the console's orders:
//! `docs/operate/system.md`.

use starlinghill_config_store::wire::MembershipOrder;
use starlinghill_console::client::RegistryClient;
use starlinghill_console::membership::{member_lines, status_lines};
use starlinghill_runtime::settings::NodeSettings;
use starlinghill_testkit::system::{eventually, initial_config, program, rule_change, rule_item, System};
use std::net::IpAddr;
use std::time::Duration;

const LOG_TIMEOUT: Duration = Duration::from_secs(15);

fn route(version: u64) -> String {
    rule_change(&rule_item("r-more", version, "safe", &format!("/more{version}/"), "1500ms"))
}

fn ip(system: &System, core: usize) -> IpAddr {
    system.cores[core].ip.parse().expect("an address")
}

/// Sends an order as the console does, repeatedly until it is accepted.
async fn order(client: &RegistryClient, order: MembershipOrder) {
    eventually(&format!("{order:?}"), || async { client.change_members(order).await.is_ok() }).await;
}

/// The state of each member in the console's words.
async fn states(client: &RegistryClient) -> Vec<String> {
    let lines = member_lines(&client.membership_statuses().await);
    lines.iter().filter_map(|line| Some(line.split_once("state=")?.1.to_string())).collect()
}

#[tokio::test]
async fn five_members_survive_the_loss_of_two_and_the_three_left_survive_the_loss_of_one() {
    let mut system = System::start(&program(), 0);
    for core in &system.cores {
        core.processes[1].wait_for_log("event=start program=patternbook", LOG_TIMEOUT);
    }
    assert_eq!(system.send_change(&initial_config(0)).await.status, 200);
    let client =
        RegistryClient::of(&NodeSettings::from_file(&system.cores[2].settings_file()).expect("settings"));
    for core in 3..5 {
        system.add_core(&program());
        // No member is silent, so the new machine waits until an operator adds it, and its status says why.
        eventually("the new machine is a waiting candidate", || async {
            let lines = status_lines(&client.membership_statuses().await);
            let waits = format!("candidate ip={} ", ip(&system, core));
            lines.iter().any(|line| line.contains(&waits) && line.contains("no member has been silent"))
        })
        .await;
        order(&client, MembershipOrder::Add(ip(&system, core))).await;
        system.cores[core].processes[1].wait_for_log("event=voter_back", LOG_TIMEOUT);
    }
    eventually("all five are fresh", || async { states(&client).await == ["fresh"; 5] }).await;
    assert_eq!(system.send_change(&route(8)).await.status, 200);
    // Two of five members fail and lose their disks.
    for core in 0..2 {
        system.cores[core].kill();
        system.cores[core].wipe_disk();
    }
    assert_eq!(system.send_change(&route(9)).await.status, 200);
    let mut both = states(&client).await;
    both.sort_unstable();
    assert_eq!(both, ["fresh", "fresh", "fresh", "silent", "silent"]);
    for core in 0..2 {
        order(&client, MembershipOrder::Remove(ip(&system, core))).await;
    }
    eventually("three are left", || async { states(&client).await == ["fresh"; 3] }).await;
    // The last of the first three members fails: the confirmed changes must be on those that were added later.
    system.cores[2].kill();
    system.cores[2].wipe_disk();
    let read = system.read_config().await;
    assert!(read.contains("/more9/"), "{read}");
    assert_eq!(system.send_change(&route(10)).await.status, 200);
}
