//! The connection of a gateway to the group: one stream to any member. If that member fails, stops answering or can't tell
//! the age of its state, the gateway switches to another member within a second. This module only transports messages:
//! [`Follower`] decides what to do with them.

use crate::proto::group_client::GroupClient;
use crate::proto::{down, up, At, Hello, Question, Up};
use starlinghill_failover::bounds::Timing;
use starlinghill_failover::directive::DirectiveUpdate;
use starlinghill_failover::follower::{Action, Event, Follower, View};
use starlinghill_failover::wire::{decode, encode, MAX_MESSAGE_BYTES};
use starlinghill_failover::{Micros, Position};
use starlinghill_zone_health::report::Report;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, Interval, MissedTickBehavior};
use tokio_stream::wrappers::ReceiverStream;
use tracing::{info, warn};

/// The longest first pause before the next member is tried. The pause is random: if a member fails, all its gateways switch to
/// the others, which must not happen at the same moment.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// The limit up to which the pauses double while no member answers.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// The most unanswered questions to a member. A member that answers none of them reaches the answer timeout first.
const MAX_OPEN_QUESTIONS: usize = 8;

/// The settings of a subscription.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The addresses of the members.
    pub members: Vec<SocketAddr>,
    /// The name of this gateway.
    pub name: String,
    /// The zones in the operators' settings file. A member refuses a gateway whose zones differ from the topology.
    pub zones: Vec<String>,
    /// The zone that this gateway is in; empty if none.
    pub zone: String,
    /// The time settings of the group.
    pub timing: Timing,
    /// The lowest generation of the group that is accepted.
    pub generation: u64,
    /// Seed of the random choice of members and pauses.
    pub seed: u64,
}

fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.0)
}

/// A message from the connection task.
enum ConnectionEvent {
    Update(DirectiveUpdate),
    Answer {
        asked_at: Micros,
        age: Option<Micros>,
        position: Position,
    },
    /// The connection ended, for this reason.
    Lost(String),
}

/// Returns the present report on the zones. It is called each time before a report is sent.
pub type ReportSource = Arc<dyn Fn() -> Report + Send + Sync>;

/// The time between two reports on the zones.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The part of a question that describes this gateway.
#[derive(Debug, Clone, Default)]
struct Status {
    held: Position,
    followed: Position,
    mode: String,
    /// Number of requests for all directives so far. The connection task sends a request when it changes.
    full_requests: u64,
}

/// Waits for new settings; for ever if their sender is gone.
async fn next_settings(changes: &mut watch::Receiver<Settings>) -> Settings {
    match changes.changed().await {
        Ok(()) => changes.borrow_and_update().clone(),
        Err(_) => std::future::pending().await,
    }
}

/// Follows the group until the receiver of views is gone. On new settings it connects again, and the present view applies
/// meanwhile.
pub async fn follow(
    mut changes: watch::Receiver<Settings>,
    views: watch::Sender<View>,
    report_source: Option<ReportSource>,
) {
    let mut settings = changes.borrow_and_update().clone();
    if settings.members.is_empty() {
        return;
    }
    let start = Instant::now();
    let now = move || Micros(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));
    let mut rng = fastrand::Rng::with_seed(settings.seed);
    let mut follower = Follower::new(settings.timing, settings.generation);
    let mut member_index = rng.usize(..settings.members.len());
    let (status, status_updates) = watch::channel(Status::default());
    let connect = |settings: &Settings, member_index: usize| {
        connect(settings, member_index, start, status_updates.clone(), report_source.clone())
    };
    let (mut connection, mut events) = connect(&settings, member_index);
    let (mut failures, mut reconnect_at): (u32, Option<Instant>) = (0, None);
    let mut tick = tick_timer(&settings);
    follower.connected(now());
    loop {
        let mut actions = Vec::new();
        let mut switch_reason = None;
        tokio::select! {
            // Messages that arrived before a tick are handled first, so that the tick sees the newest age.
            biased;
            () = views.closed() => break,
            new = next_settings(&mut changes), if reconnect_at.is_none() => {
                if new.members.is_empty() || new == settings {
                    continue;
                }
                follower.update_settings(new.timing, new.generation);
                // Random, because operators usually change the settings of all gateways at the same moment.
                reconnect_at = Some(Instant::now() + FIRST_PAUSE.mul_f64(rng.f64()));
                connection.abort();
                tick = tick_timer(&new);
                member_index %= new.members.len();
                info!(members = new.members.len(), zones = new.zones.len(), "follows by new settings");
                settings = new;
            }
            event = events.recv(), if reconnect_at.is_none() => match event {
                Some(ConnectionEvent::Update(update)) => actions = follower.handle(now(), Event::Update(update)),
                Some(ConnectionEvent::Answer { asked_at, age, position }) => {
                    failures = 0;
                    actions = follower.handle(now(), Event::Answer { asked_at, age, position });
                }
                Some(ConnectionEvent::Lost(why)) => switch_reason = Some(why),
                None => switch_reason = Some("the connection ended".into()),
            },
            () = tokio::time::sleep_until(reconnect_at.unwrap_or(start)), if reconnect_at.is_some() => {
                reconnect_at = None;
                (connection, events) = connect(&settings, member_index);
                follower.connected(now());
            }
            _ = tick.tick() => actions = follower.handle(now(), Event::Tick),
        }
        for action in actions {
            match action {
                Action::Follow(view) => {
                    let age_ms = follower.age(now()).map(|age| age.0 / 1_000);
                    info!(mode = %view.mode, position = %view.position, ?age_ms, "zones by the group");
                    views.send_replace(view);
                }
                Action::RequestFull => status.send_modify(|s| s.full_requests += 1),
                Action::SwitchMember(why) if reconnect_at.is_none() => switch_reason = Some(why.to_string()),
                Action::SwitchMember(_) => {}
            }
        }
        status.send_if_modified(|s| {
            let new = (follower.held(), follower.view().position, follower.view().mode.to_string());
            let changed = (s.held, s.followed, &s.mode) != (new.0, new.1, &new.2);
            (s.held, s.followed, s.mode) = new;
            changed
        });
        if let Some(why) = switch_reason {
            connection.abort();
            warn!(member = %settings.members[member_index], %why, "goes to another member of the group");
            member_index = (member_index + 1) % settings.members.len();
            let max_pause = FIRST_PAUSE.saturating_mul(1 << failures.min(8)).min(MAX_PAUSE);
            failures = failures.saturating_add(1);
            reconnect_at = Some(Instant::now() + max_pause.mul_f64(rng.f64()));
        }
    }
    connection.abort();
}

fn tick_timer(settings: &Settings) -> Interval {
    let mut timer = tokio::time::interval(to_duration(settings.timing.tick_interval));
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    timer
}

fn connect(
    settings: &Settings,
    member_index: usize,
    start: Instant,
    status: watch::Receiver<Status>,
    report_source: Option<ReportSource>,
) -> (JoinHandle<()>, mpsc::Receiver<ConnectionEvent>) {
    // Bounded, so that a slow reader makes the member wait instead of filling this process's memory.
    let (events, event_receiver) = mpsc::channel(16);
    let settings = settings.clone();
    let task = tokio::spawn(async move {
        let why = run_connection(&settings, member_index, start, status, report_source, &events).await;
        // If the receiver is gone, the reason is of no use to anyone.
        let _ = events.send(ConnectionEvent::Lost(why)).await;
    });
    (task, event_receiver)
}

/// Exchanges messages with one member until the connection fails. Returns the reason.
async fn run_connection(
    settings: &Settings,
    member_index: usize,
    start: Instant,
    mut status: watch::Receiver<Status>,
    report_source: Option<ReportSource>,
    events: &mpsc::Sender<ConnectionEvent>,
) -> String {
    let answer_timeout = to_duration(settings.timing.answer_timeout);
    let channel = match crate::client::channel(settings.members[member_index], answer_timeout) {
        Ok(channel) => channel,
        Err(e) => return e.to_string(),
    };
    let mut client = GroupClient::new(channel).max_decoding_message_size(2 * MAX_MESSAGE_BYTES);
    let (outbound, outbound_messages) = mpsc::channel(MAX_OPEN_QUESTIONS);
    let hello = Hello {
        name: settings.name.clone(),
        program: env!("CARGO_PKG_VERSION").into(),
        zones: settings.zones.clone(),
        zone: settings.zone.clone(),
    };
    if outbound.try_send(Up { what: Some(up::What::Hello(hello)) }).is_err() {
        return "the first message could not be queued".into();
    }
    let mut inbound =
        match tokio::time::timeout(answer_timeout, client.follow(ReceiverStream::new(outbound_messages)))
            .await
        {
            Ok(Ok(reply)) => reply.into_inner(),
            Ok(Err(status)) => return status.message().to_string(),
            Err(_) => return "no answer in time".into(),
        };
    let now = || Micros(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));
    let mut ask_timer = tokio::time::interval(to_duration(settings.timing.ask_interval));
    ask_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut number, mut full_requests) = (0u64, status.borrow().full_requests);
    // The number, sending time and sending time on the gateway's clock of each unanswered question, oldest first.
    let mut open: Vec<(u64, Instant, Micros)> = Vec::new();
    let mut last_report: Option<Instant> = None;
    loop {
        let answer_deadline = open.first().map(|(_, sent, _)| *sent + answer_timeout);
        let send_question = tokio::select! {
            biased;
            message = inbound.message() => {
                let received = match message {
                    Ok(Some(message)) => message.what,
                    Ok(None) => return "the member ended the stream".into(),
                    Err(status) => return status.message().to_string(),
                };
                let event = match received {
                    Some(down::What::Told(bytes)) => match decode::<DirectiveUpdate>(&bytes) {
                        Ok(update) => ConnectionEvent::Update(update),
                        Err(e) => return e.to_string(),
                    },
                    Some(down::What::Answer(answer)) => {
                        let Some(i) = open.iter().position(|(n, ..)| *n == answer.number) else {
                            return format!("an answer to question {}, which is not waiting for one", answer.number);
                        };
                        let (_, _, asked_at) = open[i];
                        // Answers come in order, so questions before this one get none any more.
                        open.drain(..=i);
                        let position = answer.at.map(Position::from).unwrap_or_default();
                        ConnectionEvent::Answer { asked_at, age: answer.age_us.map(Micros), position }
                    }
                    // The message is of a later version, so its meaning is unknown.
                    None => return "a message that this version does not know".into(),
                };
                if events.send(event).await.is_err() {
                    return "the receiver is gone".into();
                }
                false
            }
            () = tokio::time::sleep_until(answer_deadline.unwrap_or(start)), if answer_deadline.is_some() => {
                return format!("no answer within {} ms", answer_timeout.as_millis());
            }
            changed = status.changed() => match changed {
                // The applied position is reported at once, because operators wait for it.
                Ok(()) => true,
                Err(_) => return "the receiver is gone".into(),
            },
            _ = ask_timer.tick() => true,
        };
        if send_question && open.len() < MAX_OPEN_QUESTIONS {
            number += 1;
            let s = status.borrow_and_update().clone();
            let whole = s.full_requests != full_requests;
            full_requests = s.full_requests;
            let (held, followed) = (Some(At::from(s.held)), Some(At::from(s.followed)));
            let due_source = report_source
                .as_ref()
                .filter(|_| last_report.is_none_or(|at| at.elapsed() >= REPORT_INTERVAL));
            last_report = if due_source.is_some() { Some(Instant::now()) } else { last_report };
            let evidence = due_source.map(|report| encode(&report())).unwrap_or_default();
            let question = Question { number, held, followed, mode: s.mode, whole, evidence };
            // The time is taken before the question is sent, so that the age is never too small.
            open.push((number, Instant::now(), now()));
            if outbound.try_send(Up { what: Some(up::What::Question(question)) }).is_err() {
                return "the member takes no more questions".into();
            }
        }
    }
}
