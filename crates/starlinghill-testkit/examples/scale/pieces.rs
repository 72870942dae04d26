//! Prints the encoded size of single messages and the time of single operations of the control side.

use starlinghill_catalog::{
    name_hash, service_hash, BackendState, Catalog, Gateway, Instance, Liveness, Observation,
};
use starlinghill_config_model::{ConfigChange, Item, ItemSet};
use starlinghill_failure_detector::{GatewayLiveness, PeerSighting};
use starlinghill_quota_counter::{Allowance, Draw, ListedBackend, LoadReport, QuotaCounter};
use starlinghill_registry::wire::{
    KnownState, PeerReport, RegistryRequest, RegistryResponse, RegistryUpdate,
};
use starlinghill_runtime::frame;
use std::collections::BTreeSet;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

const ALLOWANCE: Allowance = Allowance { window_s: 5.0, excess: 0.1, extra: 20.0 };

fn ip(i: usize) -> IpAddr {
    Ipv4Addr::from(0x0a00_0000 + i as u32).into()
}

fn gateway(i: usize) -> Gateway {
    let zone = format!("mu-north-{}", i % 21);
    Gateway { ip: ip(i), incarnation: fastrand::u64(1..), zone, node: format!("front-{i:04}") }
}

fn instance(i: usize, services: usize) -> Instance {
    Instance {
        id: format!("i-{:08x}", name_hash(&i.to_string()) as u32),
        service: format!("huvo{:03}a", i % services),
        address: SocketAddr::new(ip(100_000 + i), 8080),
        zone: format!("mu-north-{}", i % 21),
        version: "v1".into(),
        capacity: 4,
        state: BackendState::Ready,
        beat_count: 1_000 + i as u64,
        warm_at_us: 90_000_000_000 + i as u64,
    }
}

/// A configuration with this many items, in the proportions of the target size.
fn item_set(items: usize) -> ItemSet {
    // The target size has 85,750 items: 950 services, 9,800 routes and 75,000 tenants.
    let routes = items * 98 / 858;
    let tenants = items - routes - routes.div_ceil(10) - 1;
    let mut set = ItemSet::default();
    for call in crate::first_calls(routes.div_ceil(10), routes, tenants) {
        let change = ConfigChange::parse(call.as_bytes()).expect("a change");
        set.merge(change.items.iter().map(|held| held.item.clone()));
    }
    set
}

/// The mean time of `count` calls of an operation.
fn mean_time(count: usize, mut operation: impl FnMut(usize)) -> Duration {
    let started = Instant::now();
    (0..count).for_each(&mut operation);
    started.elapsed() / count as u32
}

fn us(span: Duration) -> String {
    format!("{:.2} us", span.as_secs_f64() * 1e6)
}

fn message_sizes() {
    println!("| message | bytes in one | each in a thousand |\n| --- | --- | --- |");
    fn print_size<T: bitcode::Encode>(name: &str, make: impl Fn(usize) -> T) {
        let one = bitcode::encode(&vec![make(0)]).len();
        let all: Vec<T> = (0..1_000).map(make).collect();
        println!("| {name} | {one} | {:.1} |", bitcode::encode(&all).len() as f64 / 1_000.0);
    }
    print_size("backend in news (`Observation`)", |i| Observation {
        instance: instance(i, 950),
        liveness: Liveness::Alive,
    });
    print_size("backend between registries (`Instance`, age)", |i| (instance(i, 950), 400u64));
    print_size("gateway (`Gateway`, here)", |i| (gateway(i), true));
    let items: Vec<Item> = item_set(8_575).items().map(|held| held.item.clone()).collect();
    print_size("item, as they are mixed at the target", |i| items[i * 8 % items.len()].clone());
    let draw = |i: usize| Draw {
        bucket: name_hash(&i.to_string()),
        unreported: 0.0,
        units: 1.0,
        rate: 500.0,
        burst: 500.0,
        service: 77,
        max_response_ms: 300,
    };
    print_size("draw", draw);
    print_size("word on a backend", |i| LoadReport {
        backend: name_hash(&i.to_string()),
        outstanding: 2,
        succeeded: 3,
        total_latency_ms: 120,
        failed: 0,
    });
    let sighting = |i: usize| PeerSighting { ip: ip(i), incarnation: fastrand::u64(..), ago_ms: 100 };
    let known_state = KnownState {
        gateway: gateway(1),
        registry_incarnation: 1 << 60,
        seq: 1_000,
        time: 90_000_000_000,
        counter_term: 90_000_000,
        leaving: false,
        items_digest: u64::MAX,
        sightings: (0..3).map(sighting).collect(),
    };
    let update = RegistryUpdate {
        registry_incarnation: 1 << 60,
        seq: 1_000,
        contact: None,
        items: Vec::new(),
        backends: Vec::new(),
        complete: false,
        gateways: Vec::new(),
        members: None,
        counter_holder: None,
        time: 90_000_000_000,
    };
    let frame = |request: &RegistryRequest| frame::encode(request).len();
    println!("| question for news, as a frame | {} | |", frame(&RegistryRequest::Poll(known_state)));
    println!(
        "| answer without news, as a frame | {} | |",
        frame::encode(&RegistryResponse::Update(Box::new(update))).len()
    );
    let draw_request = RegistryRequest::Draw {
        term: 90_000_000,
        from: 1 << 60,
        draws: vec![draw(1)],
        load_reports: Vec::new(),
    };
    println!("| one draw, as a frame | {} | |", frame(&draw_request));
    let peer_report = |count: usize| PeerReport {
        epoch: 1,
        backends: (0..count).map(|i| (instance(i, 950), 400)).collect(),
        gateways: (0..count / 14).map(|i| (gateway(i), 100)).collect(),
        time: 90_000_000_000,
    };
    println!(
        "| what registries tell each other, 41,000 backends | {} | |",
        frame(&RegistryRequest::Report(peer_report(41_000)))
    );
    let whole: Vec<Item> = items.iter().cycle().take(85_750).cloned().collect();
    println!("| all 85,750 items | {} | |", bitcode::encode(&whole).len());
}

fn draw_times() {
    println!("\n| a draw, with so many backends of its service, gateways | one draw |\n| --- | --- |");
    for (of_service, gateways) in [(4, 100), (43, 100), (43, 300), (43, 1_000), (43, 2_800), (512, 300)] {
        let (now, services) = (Duration::from_secs(10), 20);
        let mut counter = QuotaCounter::start(Duration::ZERO, 1, true, ALLOWANCE, []);
        let gateway_ids: BTreeSet<u64> = (1..=gateways).collect();
        for id in &gateway_ids {
            counter.apply_readings(now, *id, &[]);
        }
        counter.tick(now, &gateway_ids);
        for i in 0..of_service * services {
            counter.loads.update_listing(
                now,
                ListedBackend {
                    backend: i as u64 + 1,
                    service: service_hash(&format!("s-{}", i % services)),
                    zone: i as u64 % 21,
                    capacity: 4,
                    accepts_work: true,
                    is_silent: false,
                    warm_up_left: Duration::ZERO,
                },
            );
        }
        let names: Vec<u32> = (0..services).map(|i| service_hash(&format!("s-{i}"))).collect();
        let mut draw = |i: usize| {
            let draw = Draw {
                bucket: fastrand::u64(..1_000),
                unreported: 0.0,
                units: 1.0,
                rate: 500.0,
                burst: 500.0,
                service: names[i % services],
                max_response_ms: 300,
            };
            let now = now + Duration::from_micros(i as u64 * 20);
            let from = 1 + fastrand::u64(..gateways);
            let levels = counter.draw(now, from, &[draw]);
            if let Some(offer) = levels.as_ref().and_then(|l| l.first()?.offers.first().copied()) {
                let report = LoadReport {
                    backend: offer.backend,
                    outstanding: 0,
                    succeeded: 1,
                    total_latency_ms: 40,
                    failed: 0,
                };
                counter.loads.apply_reports(now, from, &[report]);
            }
            black_box(levels);
        };
        // The counter learns first which gateways draw from which quota.
        mean_time(100_000, &mut draw);
        println!("| {of_service}, {gateways} | {} |", us(mean_time(100_000, draw)));
    }
}

fn catalog_times() {
    println!("\n| backends, gateways | a beat that says nothing new | news since a number, none | who is dead, of all gateways | a time step |");
    println!("| --- | --- | --- | --- | --- |");
    for (backends, gateways) in [(1_000, 100), (3_000, 300), (10_000, 1_000), (19_000, 2_800)] {
        let mut catalog = Catalog::new(Duration::from_millis(1_500));
        let now = Duration::from_secs(10);
        let mut instances: Vec<Instance> = (0..backends).map(|i| instance(i, 950)).collect();
        for instance in &instances {
            catalog.record_backend(now, instance.clone(), Duration::ZERO);
        }
        (0..gateways).for_each(|i| catalog.record_gateway(now, gateway(i), Duration::ZERO));
        let beat = mean_time(backends, |i| {
            instances[i].beat_count += 1;
            black_box(catalog.record_backend(now, instances[i].clone(), Duration::ZERO));
        });
        let seq = catalog.seq();
        let since = mean_time(50, |_| drop(black_box(catalog.changes_since(seq))));
        let all: BTreeSet<IpAddr> = (0..gateways).map(ip).collect();
        let mut liveness = GatewayLiveness::default();
        (0..gateways).for_each(|i| liveness.record_report(now, ip(i), 1, &[]));
        let dead = mean_time(2, |_| drop(black_box(liveness.dead_gateways(now, &all))));
        let tick = mean_time(20, |_| drop(catalog.tick(now)));
        println!("| {backends}, {gateways} | {} | {} | {} | {} |", us(beat), us(since), us(dead), us(tick));
    }
}

fn configuration_times() {
    println!("\n| items | bytes | read again from a message | a change of one item taken in and checked | encoded |");
    println!("| --- | --- | --- | --- | --- |");
    for items in [1_000, 10_000, 20_000] {
        let set = item_set(items);
        let value: Vec<Item> = set.items().map(|held| held.item.clone()).collect();
        let bytes = bitcode::encode(&value);
        let decoding = mean_time(2, |_| drop(black_box(ItemSet::from_items(value.iter().cloned()))));
        let body = format!(r#"{{"upsert":{{"ports":[{}]}},"remove":{{}}}}"#, crate::route(0, 1, 2));
        let change = ConfigChange::parse(body.as_bytes()).expect("a change");
        let change_time = mean_time(5, |_| {
            drop(black_box(set.with_change(&change).map(|next| next.differing_items(&set))))
        });
        let encoded = mean_time(5, |_| drop(black_box(bitcode::encode(&value))));
        println!(
            "| {} | {} | {} | {} | {} |",
            value.len(),
            bytes.len(),
            us(decoding),
            us(change_time),
            us(encoded)
        );
    }
}

/// Prints all tables.
pub fn print() {
    message_sizes();
    draw_times();
    catalog_times();
    configuration_times();
}
